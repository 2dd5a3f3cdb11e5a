"""Selects targets by their state and load as this host knows them."""

import math
import time

from collections.abc import Iterable
from walnutport.gateway.entry import calls
from walnutport.gateway.state import feed_follower
from walnutport.routing import backpressure
from walnutport.routing import engines
from walnutport.routing import outcomes
from walnutport.routing import prompt_caches
from walnutport.routing import request_shares
from walnutport.stages import pieces
from walnutport.world import registrations
from walnutport.world import requests

__all__ = ['TargetSelector']


class TargetSelector:
    """Selects targets for the calls of this host and for the cells it owns.

    :param limits: limits that targets state.
    :param data_centre: data centre of this host.
    """

    def __init__(
        self,
        follower: feed_follower.FeedFollower,
        target_outcomes: outcomes.TargetOutcomes,
        limits: backpressure.TargetBackpressure,
        data_centre: str,
    ) -> None:
        self._follower = follower
        self._outcomes = target_outcomes
        self._limits = limits
        self._data_centre = data_centre
        self._caches = prompt_caches.PromptCaches()
        # Number of cells, whose owners place requests independently.
        self.cell_count = 1
        self.shares = request_shares.RequestShares()
        # Tokens of prompts that were placed, and those of them that engines
        # are expected to read.
        self.placed_tokens = 0
        self.read_tokens = 0

    def select_target(
        self, call: calls.CallerCall
    ) -> registrations.RegisteredTarget | None:
        """Return the target for a request without a stream."""
        now = time.monotonic()
        target = self._outcomes.choose(
            self._limits.permitted(
                self._follower.registry.usable(call.service),
                now,
                self._in_flight,
            ),
            now,
            call.excluded_targets(),
            self._data_centre,
        )
        if target is not None:
            self.shares.record(target.target_id, now)
        return target

    def stated_delay_s(self, call: calls.CallerCall) -> float | None:
        """Return the time until a target accepts a request, as targets state.

        :returns: 0 if a target does now, None if there is none at all.
        """
        now = time.monotonic()
        targets = [
            target
            for target in self._usable(call.service, call.origin_version)
            if not self._limits.is_leaving(target)
        ]
        delays_s = [self._limits.delay_s(target, now) for target in targets]
        if not delays_s:
            return None
        if math.isinf(min(delays_s)):
            # Other hosts may send in this time, and callers reach them.
            return min(
                self._limits.min_interval_s(target) for target in targets
            )
        return min(delays_s)

    def select_engine(
        self, call: calls.CallerCall
    ) -> registrations.RegisteredTarget | None:
        """Return the engine for a stream.

        The engine that the owner of the cell recommends comes first, as the
        owner knows the requests of all hosts whose stages it ran.
        """
        now = time.monotonic()
        recommended = self._follower.registry.targets.get(call.engine_id)
        if (
            recommended is not None
            and not call.excluded_targets()
            and call.origin_version in (None, recommended.software_version)
            and not recommended.draining
            and self._outcomes.stats(recommended).ejected_until <= now
            and self._limits.delay_s(recommended, now) <= 0
            and self._limits.has_room(
                recommended, self._in_flight(recommended)
            )
        ):
            return recommended
        engine = engines.choose_engine(
            self._limits.permitted(
                self._usable(call.service, call.origin_version),
                now,
                self._in_flight,
            ),
            self._outcomes,
            call.fields.prompt,
            call.input_bytes_by_data_centre,
            now,
            call.excluded_targets(),
            caches=self._caches,
            shares=self.shares,
            preferred_fraction=engines.UNSEEN_PREFILL_FRACTION,
        )
        if engine is not None:
            self._record_prompt(call.fields.prompt, engine, now)
        return engine

    def recommend_engine(
        self,
        spec: pieces.JobSpec,
        result: pieces.JobResult,
        prefills: engines.PrefillTracker,
        host_name: str,
    ) -> str:
        """Return the engine that should run a request after its stages.

        :param spec: job of any host whose stages are complete.
        :param prefills: prompts that engines have yet to read; the chosen
            engine gets the request added.
        :param host_name: host that will send the request.
        :returns: id of the engine, empty when none is usable.
        """
        now = time.monotonic()
        engine = engines.choose_engine(
            self._limits.recommendable(
                self._usable(spec.final_service, spec.final_version),
                host_name,
                now,
            ),
            self._outcomes,
            spec.prompt,
            pieces.bytes_by_data_centre(result.results),
            now,
            pending_tokens=prefills.tokens_by_engine,
            caches=self._caches,
            shares=self.shares,
            preferred_fraction=(
                engines.PREFERRED_PREFILL_FRACTION
                if self.cell_count == 1
                else engines.UNSEEN_PREFILL_FRACTION
            ),
        )
        if engine is None:
            return ''
        self._limits.record_recommendation(engine, now)
        prefills.add(
            spec.job_id,
            engine.target_id,
            engines.uncached_tokens(spec.prompt, engine, self._caches),
        )
        self._record_prompt(spec.prompt, engine, now)
        return engine.target_id

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that was removed."""
        self._outcomes.forget(target_id)
        self._limits.forget(target_id, time.monotonic())
        self._caches.forget(target_id)
        self.shares.forget(target_id)

    def _in_flight(self, target: registrations.RegisteredTarget) -> int:
        """Return the requests that this host has in flight at a target."""
        return self._outcomes.stats(target).in_flight

    def _usable(
        self, service: str, version: str | None
    ) -> Iterable[registrations.RegisteredTarget]:
        """Return the targets that accept new work.

        :param version: software version that they must have; None for any.
        """
        return [
            target
            for target in self._follower.registry.usable(service)
            if version in (None, target.software_version)
        ]

    def _record_prompt(
        self,
        prompt: requests.PromptShape | None,
        engine: registrations.RegisteredTarget,
        now: float,
    ) -> None:
        self.shares.record(engine.target_id, now)
        self._outcomes.stats(engine).changed()
        if prompt is None:
            return
        self.placed_tokens += prompt.input_tokens
        self.read_tokens += engines.uncached_tokens(
            prompt, engine, self._caches
        )
        capacity_tokens = prompt_caches.DEFAULT_CACHE_TOKENS
        desired = self._follower.desired
        if desired is not None:
            service = desired.service_by_name.get(engine.service)
            if service is not None and service.engine is not None:
                capacity_tokens = service.engine.cache_tokens
        self._caches.record(prompt, engine, capacity_tokens)
