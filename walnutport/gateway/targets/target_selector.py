"""Selects targets by their state and load as this host knows them."""

from collections.abc import Iterable
import math
import time

from walnutport.gateway.entry import calls
from walnutport.gateway.state import feed_follower
from walnutport.gateway.targets import permit_exchange
from walnutport.routing import backpressure
from walnutport.routing import eligibility
from walnutport.routing import engines
from walnutport.routing import outcomes
from walnutport.routing import prompt_caches
from walnutport.routing import request_shares
from walnutport.routing import target_runs
from walnutport.stages import pieces
from walnutport.world import registrations
from walnutport.world import requests

__all__ = ['TargetSelector']

# Cold targets that are asked for in turn, if only cold ones are left, before a
# request waits for one of them; each takes a round trip to another host.
MAX_COLD_ASKS = 3
# Cold targets whose permits are due within this time of each other are equal.
SAME_DUE_S = 0.02


class TargetSelector:
    """Selects targets for the calls of this host and for the cells it owns.

    :param limits: limits that targets state.
    :param target_eligibility: decides which targets may get new work.
    :param data_centre: data centre of this host.
    :param permits: permits to send to cold targets.
    """

    def __init__(
        self,
        follower: feed_follower.FeedFollower,
        target_outcomes: outcomes.TargetOutcomes,
        limits: backpressure.TargetBackpressure,
        target_eligibility: eligibility.Eligibility,
        data_centre: str,
        permits: permit_exchange.PermitExchange,
    ) -> None:
        self._permits = permits
        self._follower = follower
        self._eligibility = target_eligibility
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
            self._offered(
                call,
                self._limits.permitted(
                    self._usable_for(call),
                    now,
                    self._in_flight,
                ),
                now,
            ),
            now,
            call.excluded_targets(),
            self._data_centre,
        )
        if target is not None:
            self.shares.record(target.target_id, now)
        return self._chosen(call, target)

    def stated_delay_s(self, call: calls.CallerCall) -> float | None:
        """Return the time until a target accepts a request, as targets state.

        :returns: 0 if a target does now, None if there is none at all.
        """
        now = time.monotonic()
        targets = self._usable(call.service, call.origin_version)
        delays_s = [self._limits.delay_s(target, now) for target in targets]
        if not delays_s:
            return None
        if math.isinf(min(delays_s)):
            # Other hosts may send in this time, and callers reach them.
            return min(
                self._limits.min_interval_s(target) for target in targets
            )
        return min(delays_s)

    def is_evacuated(self, call: calls.CallerCall) -> bool:
        """Return whether evacuations leave no target for a request.

        They may also leave none for one of the stages that have not run.
        """
        services = {(call.service, call.origin_version)}
        if call.inputs is None and call.fields.piece_counts is not None:
            services |= {
                (stage.service, None)
                for stage, count in zip(
                    call.route.stages, call.fields.piece_counts
                )
                if count
            }
        return any(
            self._eligibility.all_evacuated(self._registered(*service))
            for service in services
        )

    def has_target(self, call: calls.CallerCall) -> bool:
        """Return whether a target is left that may get a request."""
        excluded = call.excluded_targets()
        return any(
            target.target_id not in excluded
            and call.may_get(target.target_id)
            and self._eligibility.accepts(target)
            for target in self._registered(call.service, call.origin_version)
        )

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
            and call.may_get(recommended.target_id)
            and call.origin_version in (None, recommended.software_version)
            and self._eligibility.accepts(recommended)
            and self._outcomes.stats(recommended).ejected_until <= now
            and self._limits.delay_s(recommended, now) <= 0
            and self._limits.has_room(
                recommended, self._in_flight(recommended)
            )
            and recommended.target_id not in call.cold_denied
        ):
            call.waits_for_permit = False
            return recommended
        engine = engines.choose_engine(
            self._offered(
                call,
                self._limits.permitted(
                    self._usable_for(call),
                    now,
                    self._in_flight,
                ),
                now,
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
        return self._chosen(call, engine)

    def permit_delay_s(self, call: calls.CallerCall) -> float:
        """Return the time until a permit is due, 0 if none is needed."""
        if not self._permits.may_be_needed:
            return 0.0
        return min(
            (
                self._permits.retry_after_s(target)
                if self._permits.is_needed(target)
                else 0.0
                for target in self._usable(call.service, call.origin_version)
            ),
            default=0.0,
        )

    def cold_retry_after_s(self, call: calls.CallerCall) -> float:
        """Return when a request without a permit may come back."""
        return min(
            (
                self._permits.retry_after_s(target)
                for target in call.cold_denied.values()
            ),
            default=0.0,
        )

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
            self._recommendable(
                self._limits.recommendable(
                    self._usable(spec.final_service, spec.final_version),
                    host_name,
                    now,
                )
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
        self._permits.record_recommendation(engine)
        prefills.add(
            spec.job_id,
            engine.target_id,
            engines.uncached_tokens(spec.prompt, engine, self._caches),
        )
        self._record_prompt(spec.prompt, engine, now)
        return engine.target_id

    def bound_version(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget,
    ) -> str | None:
        """Return the software version of the run that serves a stream.

        :returns: None if it is not known.
        """
        return target_runs.bound_version(
            call.binding,
            target,
            self._follower.registry.targets.get(target.target_id),
        )

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that was removed."""
        self._outcomes.forget(target_id)
        self._limits.forget(target_id, time.monotonic())
        self._caches.forget(target_id)
        self.shares.forget(target_id)

    def _in_flight(self, target: registrations.RegisteredTarget) -> int:
        """Return the requests that this host has in flight at a target."""
        return self._outcomes.stats(target).in_flight

    def _offered(
        self,
        call: calls.CallerCall,
        targets: list[registrations.RegisteredTarget],
        now: float,
    ) -> list[registrations.RegisteredTarget]:
        """Return the targets among which to choose for a request.

        A cold target is among them when it may have a permit to spare. If only
        cold ones are left, the request waits for one that is due first, unless
        others are left to ask for.
        """
        call.waits_for_permit = False
        if not self._permits.may_be_needed and not call.cold_denied:
            return targets
        excluded = call.excluded_targets()
        left = self._outcomes.exclude_ejected(
            [target for target in targets if target.target_id not in excluded],
            now,
        )
        cold = [target for target in left if self._permits.is_needed(target)]
        warm = [
            target for target in left if not self._permits.is_needed(target)
        ]
        unasked = [
            target
            for target in cold
            if target.target_id not in call.cold_denied
        ]
        if warm:
            return warm + [
                target for target in unasked if self._permits.may_offer(target)
            ]
        if call.was_permit_refused:
            return []
        if len(cold) > 1 and unasked and len(call.cold_denied) < MAX_COLD_ASKS:
            cold = unasked
        else:
            call.waits_for_permit = True
        return self._soonest(cold)

    def _soonest(
        self, cold: list[registrations.RegisteredTarget]
    ) -> list[registrations.RegisteredTarget]:
        """Return the cold targets whose permits are due first."""
        waits_s = [self._permits.expected_wait_s(target) for target in cold]
        latest_s = min(waits_s, default=0.0) + SAME_DUE_S
        return [
            target
            for target, wait_s in zip(cold, waits_s)
            if wait_s <= latest_s
        ]

    def _chosen(
        self,
        call: calls.CallerCall,
        target: registrations.RegisteredTarget | None,
    ) -> registrations.RegisteredTarget | None:
        """Record the choice of a target that may be cold."""
        if (
            target is not None
            and not call.waits_for_permit
            and self._permits.is_needed(target)
        ):
            self._permits.record_offer(target)
        return target

    def _recommendable(
        self, engines_left: list[registrations.RegisteredTarget]
    ) -> list[registrations.RegisteredTarget]:
        """Leave out cold engines that can take no further request now."""
        if not self._permits.may_be_needed:
            return engines_left
        return [
            engine
            for engine in engines_left
            if not self._permits.is_needed(engine)
            or self._permits.may_recommend(engine)
        ]

    def _usable_for(
        self, call: calls.CallerCall
    ) -> list[registrations.RegisteredTarget]:
        """Return the targets that accept new work and may get a request."""
        usable = self._usable(call.service, call.origin_version)
        if not call.targets:
            return usable
        return [target for target in usable if call.may_get(target.target_id)]

    def _usable(
        self, service: str, version: str | None
    ) -> list[registrations.RegisteredTarget]:
        """Return the targets that accept new work; see ``_registered``."""
        return self._eligibility.eligible(self._registered(service, version))

    def _registered(
        self, service: str, version: str | None
    ) -> Iterable[registrations.RegisteredTarget]:
        """Return the targets of a service.

        :param version: software version that they must have; None for any.
        """
        return (
            target
            for target in self._follower.registry.targets.values()
            if target.service == service
            and version in (None, target.software_version)
        )

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
