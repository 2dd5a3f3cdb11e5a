"""Chooses the targets of requests from what this host knows of them."""

import time

from walnutport.gateway import calls
from walnutport.gateway import feed_follower
from walnutport.routing import engines
from walnutport.routing import outcomes
from walnutport.stages import pieces
from walnutport.world import registrations

__all__ = ['TargetChoice']


class TargetChoice:
    """Choice of targets for the calls of this host and for owned cells.

    :param data_centre: where this host is.
    """

    def __init__(
        self,
        follower: feed_follower.NewsFollower,
        standings: outcomes.TargetOutcomes,
        data_centre: str,
    ) -> None:
        self._follower = follower
        self._standings = standings
        self._data_centre = data_centre

    def for_plain(
        self, call: calls.CallerCall
    ) -> registrations.RegisteredTarget | None:
        """Return the target of a request without a stream."""
        return self._standings.choose(
            self._follower.registry.usable(call.service),
            time.monotonic(),
            call.tried(),
            self._data_centre,
        )

    def for_stream(
        self, call: calls.CallerCall
    ) -> registrations.RegisteredTarget | None:
        """Return the engine of a stream.

        The advice of the owner that ran the stages goes first, as it knows
        the requests of all hosts that follow its stages.
        """
        now = time.monotonic()
        advised = self._follower.registry.targets.get(call.engine_id)
        if (
            advised is not None
            and not call.tried()
            and not advised.draining
            and self._standings.stats(advised).ejected_until <= now
        ):
            return advised
        return engines.choose_engine(
            self._follower.registry.usable(call.service),
            self._standings,
            call.fields.prompt,
            call.input_bytes_by_place,
            now,
            call.tried(),
        )

    def advise(
        self,
        order: pieces.JobSpec,
        result: pieces.JobResult,
        book: engines.PrefillTracker,
    ) -> str:
        """Return the engine for a request of any host after its stages.

        :returns: its id, empty when none is known.
        """
        engine = engines.choose_engine(
            self._follower.registry.usable(order.final_service),
            self._standings,
            order.prompt,
            pieces.bytes_by_data_centre(result.results),
            time.monotonic(),
            pending_tokens=book.pending_tokens,
        )
        if engine is None:
            return ''
        book.add(
            order.job_id,
            engine.target_id,
            engines.expected_prefill_tokens(order.prompt),
        )
        return engine.target_id
