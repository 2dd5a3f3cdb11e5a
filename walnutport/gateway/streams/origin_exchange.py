"""Shares with the other hosts where streams began."""

from collections.abc import Mapping
import math
import time

from twisted.internet import defer
from twisted.python import failure as twisted_failure

from walnutport.gateway.entry import calls
from walnutport.gateway.peers import peers
from walnutport.gateway.state import feed_follower
from walnutport.gateway.streams import begun_batches
from walnutport.gateway.streams import history_record
from walnutport.gateway.streams import origin_handover
from walnutport.gateway.streams import origin_keepers
from walnutport.gateway.streams import origin_log
from walnutport.gateway.streams import origin_questions
from walnutport.gateway.streams import origin_writers
from walnutport.peer import fleet_messages
from walnutport.routing import origin_history
from walnutport.routing import stream_origins
from walnutport.world import routes

__all__ = ['OriginExchange']

# Origins are collected for this long before they are sent. Streams of a host
# that is killed within it cannot go on.
FLUSH_DELAY_S = 0.02
# The same in a partial mesh, where each host begins many streams.
PARTIAL_MESH_FLUSH_DELAY_S = 0.5
# Longest time that a caller waits for the record of the history.
RECORD_LIMIT_S = 0.25


class OriginExchange:
    """Origins of streams at this host, kept in sync with its peers.

    In a full mesh, all peers are told; in a partial one, two hosts that the
    id of the stream selects. They outlive the host that began the stream.

    :param stored: log in the store, for the case that all hosts are lost.
    :param history: what was in use lately.
    :param record: record of the history in the store.
    :ivar continued_count_by_source: how often callers took up a stream, by how
        its origin was known.
    """

    def __init__(
        self,
        reactor,
        log,
        mesh: peers.PeerMesh,
        follower: feed_follower.FeedFollower,
        stored: origin_log.OriginLog,
        history: origin_history.OriginHistory,
        record: history_record.HistoryRecord,
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._mesh = mesh
        self._follower = follower
        self._stored = stored
        self._origins = stream_origins.StreamOrigins()
        self._history = history
        self._record_in_store = record
        self._ambiguous_routes: set[str] = set()
        self._known_desired: routes.DesiredState | None = None
        self._keepers = origin_keepers.OriginKeepers(
            mesh, lambda name: self._handover.begin(name)
        )
        self._handover = origin_handover.OriginHandover(
            reactor, mesh, self._origins, self._keepers.includes
        )
        self._questions = origin_questions.OriginQuestions(reactor, mesh)
        self._writers = origin_writers.OriginWriters(
            reactor, log, mesh, self._origins, stored
        )
        self._flush_scheduled = False
        # When a link to a peer last came up or was lost.
        self._links_changed_at = -math.inf
        self.continued_count_by_source = dict.fromkeys(
            ('own', 'peer', 'sole', 'log', 'unknown'), 0
        )

    def state_changed(self) -> None:
        """Follow a change of the desired state or of the targets.

        If a second origin becomes possible for a route, the streams that are
        open are told to the peers.
        """
        now = time.monotonic()
        follower = self._follower
        desired = follower.desired
        if desired is not None and desired is not self._known_desired:
            self._known_desired = desired
            self._history.update_routes(desired.routes, now)
        if follower.is_initialized:
            self._history.note_versions(
                follower.registry.take_ended_versions(), now
            )
            self._history.update_targets(
                follower.registry.targets.values(), now
            )
        self._origins.retention_s = self._history.retention_s
        self._stored.retention_s = self._history.retention_s
        self._update_ambiguous_routes(now)

    def _update_ambiguous_routes(self, now: float) -> None:
        before = self._ambiguous_routes
        self._ambiguous_routes = self._history.ambiguous_routes(
            now
        ) | self._history.unsure_routes(now)
        if self._ambiguous_routes - before:
            self._schedule_flush()

    def begun(
        self, call: calls.CallerCall, origin: stream_origins.StreamOrigin
    ) -> None:
        """Record that the first event of a call's stream has arrived.

        If the version of its run was not known then, this is called again once
        it is.
        """
        self._record(
            call.request_id, origin, call.route.name, is_inferred=False
        )

    async def resolve(
        self, call: calls.CallerCall
    ) -> stream_origins.StreamOrigin | None:
        """Return where the stream began that a caller takes up.

        :returns: None if neither this host nor a peer nor the store can tell,
            or if the version of the run that began it was not known.
        """
        source, origin = await self._find(call)
        if origin is not None and not origin.is_version_known:
            source, origin = 'unknown', None
        self.continued_count_by_source[source] += 1
        self._log.notable(
            'stream_continued',
            id=call.request_id,
            begun_by=call.fields.begun_by,
            after=call.fields.last_event_id,
            service='' if origin is None else origin.service,
            version='' if origin is None else origin.version,
            source=source,
        )
        if origin is not None and call.fields.begun_by:
            # Later attempts name the same stream.
            self._record(
                call.fields.begun_by,
                origin,
                call.route.name,
                is_inferred=True,
            )
        return origin

    def handle_message(
        self, name: str, message: fleet_messages.FleetMessage
    ) -> None:
        """Handle a message of a peer."""
        if isinstance(message, fleet_messages.StreamsBegun):
            now = time.monotonic()
            origin = stream_origins.StreamOrigin(
                message.service, message.version
            )
            source = stream_origins.OriginSource(
                message.writer or self._mesh.run_of(name), message.is_inferred
            )
            is_new = False
            for attempt_id in message.attempt_ids:
                is_new |= self._origins.record(
                    attempt_id,
                    origin,
                    message.route,
                    now,
                    is_own=False,
                    source=source,
                )
            if is_new:
                self._note_origin(message.route, origin, now)
            if message.writer:
                self._writers.handed_over()
        elif isinstance(message, fleet_messages.OriginQuery):
            defer.Deferred.fromCoroutine(
                self._answer(name, message)
            ).addErrback(self._answer_failed, name)
        elif isinstance(message, fleet_messages.OriginReply):
            self._questions.reply_received(name, message)

    def store_returned_older(self) -> None:
        """Write again what the store may have lost."""
        self._stored.store_returned_older()

    def peer_joined(self, name: str) -> None:
        """Tell a peer, which may have just started, what it should hold."""
        self._links_changed_at = time.monotonic()
        self._handover.begin(name)

    def peer_lost(self, name: str) -> None:
        """Expect no answer of a lost peer, and do what it has done."""
        self._links_changed_at = time.monotonic()
        self._writers.peer_lost()
        self._questions.peer_lost(name)
        self._keepers.update()

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return {
            'stream_origins': len(self._origins),
            'ambiguous_routes': len(self._ambiguous_routes),
            **self._stored.gauges(),
            **self._record_in_store.gauges(),
        }

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        return {
            'stream_origins_dropped_total': self._origins.dropped_count,
            'stream_origins_handed_over_total': self._handover.sent_count,
            'stream_origins_taken_over_total': self._writers.taken_count,
            **self._stored.totals(),
            **self._record_in_store.totals(),
            **{
                f'streams_continued_{source}_total': count
                for source, count in self.continued_count_by_source.items()
            },
        }

    def _record(
        self,
        attempt_id: str,
        origin: stream_origins.StreamOrigin,
        route_name: str,
        is_inferred: bool,
    ) -> None:
        now = time.monotonic()
        self._origins.record(
            attempt_id,
            origin,
            route_name,
            now,
            is_own=True,
            source=stream_origins.OriginSource(is_inferred=is_inferred),
        )
        self._note_origin(route_name, origin, now)
        if self._history.sole_origin(
            route_name, now
        ) is None or not self._is_sure(route_name, now):
            # Peers may know of another origin that this host has not seen.
            self._ambiguous_routes.add(route_name)
            self._schedule_flush()
            if not origin.is_version_known:
                # Peers would infer a version until they are told.
                self._reactor.callLater(FLUSH_DELAY_S, self._flush)

    def _note_origin(
        self, route_name: str, origin: stream_origins.StreamOrigin, now: float
    ) -> None:
        """Take into account that streams begin at an origin.

        While it is not that of the entries, peers may hold other streams for
        which they would infer the wrong origin.
        """
        if self._history.note_origin(route_name, origin, now):
            self._update_ambiguous_routes(now)

    def _is_sure(self, route_name: str, now: float) -> bool:
        return self._history.is_complete(now) or self._history.is_recorded(
            route_name, now
        )

    async def _find(
        self, call: calls.CallerCall
    ) -> tuple[str, stream_origins.StreamOrigin | None]:
        """Return how the origin is known, and the origin."""
        now = time.monotonic()
        begun_by = call.fields.begun_by
        route_name = call.route.name
        origin = self._origins.find(begun_by, now, may_be_inferred=False)
        if origin is not None:
            return 'own', origin
        # The stream may have begun at a version that this host, or the peers,
        # have not seen yet. Its run was registered before the stream began,
        # or the origin is told as unknown.
        is_confirmed = await self._follower.confirmation.confirm(now)
        now = time.monotonic()
        sole = None
        if is_confirmed:
            sole = self._sole_origin(route_name, now, is_confirmed)
        if sole is not None and not (
            begun_by and self._may_lack_messages(now)
        ):
            return 'sole', sole
        origin = self._stored.known(begun_by, may_be_inferred=False)
        if origin is not None and origin.is_version_known:
            return 'log', origin
        answer = await self._questions.ask(
            self._keepers.names(begun_by),
            begun_by,
            route_name,
            only_recorded=sole is not None,
        )
        now = time.monotonic()
        origin = self._origins.find(begun_by, now, may_be_inferred=False)
        if origin is not None:
            # It was told meanwhile.
            return 'own', origin
        if answer is not None and not answer.is_inferred:
            return 'peer', answer.origin
        # The host that began the stream may reach the store only, or be lost.
        needs_log = bool(begun_by) and (
            self._history.sole_origin(route_name, now) is None
            or self._stored.known(begun_by) is not None
        )
        if needs_log:
            await self._stored.find(begun_by)
            origin = self._known_begun(begun_by)
            if origin is not None:
                return 'log', origin
        inferred = self._inferred(begun_by, answer)
        if len({origin for _, origin in inferred} | {sole} - {None}) > 1:
            # One of them is wrong.
            return 'unknown', None
        if inferred:
            return inferred[0]
        if (
            not self._history.is_complete(now)
            and self._history.sole_origin(route_name, now) is not None
        ):
            # After a start of all hosts, only the record in the store tells
            # whether this is the only origin. The log is written earlier.
            await self._record_in_store.wait_until_read(RECORD_LIMIT_S)
            needs_log = bool(begun_by)
            if needs_log:
                origin = await self._stored.find(begun_by)
                if origin is not None:
                    return 'log', origin
        origin = self._sole_origin(
            route_name, time.monotonic(), is_confirmed, may_be_recorded=True
        )
        if origin is not None:
            return 'sole', origin
        if begun_by and not needs_log:
            origin = await self._stored.find(begun_by)
            if origin is not None:
                return 'log', origin
        return 'unknown', None

    def _may_lack_messages(self, now: float) -> bool:
        """Return whether peers may have told of streams without this host.

        That is so while links are down, and for as long as streams may be
        taken up that were told then. The present entries do not show a version
        that has come and gone meanwhile. In a partial mesh, only the keepers
        of a stream are told.
        """
        return (
            self._mesh.is_partial
            or now - self._links_changed_at < self._history.retention_s
            or not self._mesh.links_with_most
        )

    def _inferred(
        self, begun_by: str, answer: origin_questions.OriginAnswer | None
    ) -> list[tuple[str, stream_origins.StreamOrigin]]:
        """Return what hosts have inferred of a stream, and how it is known.

        :param answer: what peers infer.
        """
        inferred = (
            ('own', self._origins.find(begun_by, time.monotonic())),
            ('log', self._stored.known(begun_by)),
            ('peer', None if answer is None else answer.origin),
        )
        return [
            (source, origin)
            for source, origin in inferred
            if origin is not None
        ]

    def _sole_origin(
        self,
        route_name: str,
        now: float,
        is_confirmed: bool,
        may_be_recorded: bool = False,
    ) -> stream_origins.StreamOrigin | None:
        """Return the origin of all streams of a route, None if unsure.

        A host that is cut off may not know the newest targets, however short
        the time is since it was in touch.

        :param is_confirmed: whether the targets were read from the store since
            the stream was taken up. Otherwise, peers have to be linked, which
            tell each other of new targets and of streams that begin there.
        :param may_be_recorded: whether the record in the store may stand for
            what this host has not seen. Peers that have seen it know better:
            a host of an earlier build writes no record.
        """
        is_in_touch = is_confirmed or self._mesh.links_with_most
        is_known = self._history.is_complete(now) or (
            may_be_recorded and self._history.is_recorded(route_name, now)
        )
        if is_in_touch and is_known:
            return self._history.sole_origin(route_name, now)
        return None

    async def _answer(
        self, name: str, query: fleet_messages.OriginQuery
    ) -> None:
        now = time.monotonic()
        inferred = self._origins.find(query.attempt_id, now)
        if (
            inferred is None
            and not query.only_recorded
            and self._known_begun(query.attempt_id) is None
        ):
            is_confirmed = await self._follower.confirmation.confirm(now)
            inferred = self._sole_origin(
                query.route, time.monotonic(), is_confirmed
            )
        origin = self._known_begun(query.attempt_id)
        is_inferred = origin is None
        if origin is None:
            origin = inferred or self._stored.known(query.attempt_id)
        self._mesh.send(
            name,
            fleet_messages.OriginReply(query.attempt_id)
            if origin is None
            else fleet_messages.OriginReply(
                query.attempt_id,
                True,
                origin.service,
                origin.version,
                is_inferred,
            ),
        )

    def _known_begun(
        self, attempt_id: str
    ) -> stream_origins.StreamOrigin | None:
        """Return an origin that the host has recorded that began the stream.

        :returns: None if this host knows no such record.
        """
        origin = self._origins.find(
            attempt_id, time.monotonic(), may_be_inferred=False
        )
        if origin is None:
            origin = self._stored.known(attempt_id, may_be_inferred=False)
        return origin

    def _answer_failed(
        self, failure: twisted_failure.Failure, name: str
    ) -> None:
        self._log.notable(
            'origin_answer_failed',
            peer=name,
            problem=failure.getErrorMessage(),
        )

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._reactor.callLater(
                PARTIAL_MESH_FLUSH_DELAY_S
                if self._mesh.is_partial
                else FLUSH_DELAY_S,
                self._flush,
            )

    def _flush(self) -> None:
        self._flush_scheduled = False
        for is_inferred in (False, True):
            untold = self._origins.take_untold(
                self._ambiguous_routes, time.monotonic(), is_inferred
            )
            self._stored.add(untold, is_inferred)
            self._tell(untold, is_inferred)

    def _tell(
        self,
        untold: Mapping[tuple[str, stream_origins.StreamOrigin], list[str]],
        is_inferred: bool,
    ) -> None:
        """Tell the keepers of streams where they began."""
        for origin, attempt_ids in untold.items():
            ids_by_keeper: dict[str, list[str]] = {}
            for attempt_id in attempt_ids:
                for name in self._keepers.names(attempt_id):
                    ids_by_keeper.setdefault(name, []).append(attempt_id)
            for name, ids in ids_by_keeper.items():
                for message in begun_batches.split(
                    {origin: ids}, is_inferred=is_inferred
                ):
                    self._mesh.send(name, message)
