"""Process of an entry host: owns every part and stops them in order."""

import collections
from collections.abc import Callable
import random
import time
import uuid

import msgspec
from twisted.internet import defer
from twisted.internet import task

from walnutport.config import entry
from walnutport import exceptions
from walnutport.gateway import attempts
from walnutport.gateway import cells
from walnutport.gateway import decision_log
from walnutport.gateway import front
from walnutport.gateway import metrics
from walnutport.gateway import news
from walnutport.gateway import peers
from walnutport.http1 import client
from walnutport.http1 import server
from walnutport.membership import ranking
from walnutport.peer import fleet_messages
from walnutport.peer import messages as peer_messages
from walnutport.platform import documents
from walnutport.platform import store as platform_store
from walnutport.platform import wire
from walnutport.quarantine import suspects
from walnutport.retries import window
from walnutport.routing import outcomes
from walnutport.world import feeds
from walnutport.world import routes

__all__ = ['EntryHost']

TICK_S = 0.1
# Idle channels kept to each target.
MAX_IDLE_CHANNELS = 6
# The balancer takes a host out after two questions, a second apart, that it
# does not answer with 200; connections may come until then.
BALANCER_LEAVES_S = 2.6
# Callers' channels that were quiet this long are closed while draining.
QUIET_CHANNEL_S = 0.5
# Left before the kill when the last answers are broken off.
KILL_MARGIN_S = 0.5
# How late the loop may run on average before the host stops taking work of
# other hosts.
UNFIT_LAG_S = 0.06
FIT_LAG_S = 0.03
LAG_GAIN = 0.15
PUBLISH_RETRY_S = 1.0
# Link that goes with one core of a host that takes work of others: the calls
# of a cell come to some Mbit/s.
LINK_MBPS_PER_CORE = 50.0
# Hosts that are assumed at least while the others are not known yet. Today's
# installations have 7 to 9.
LEAST_FLEET = 7
# A death is confirmed by a refused connection.
PROBE_TIMEOUT_S = 0.5
# Samples of the loop lag kept for the metrics.
LAG_SAMPLES = 50


class EntryHost:
    """All parts of one entry host on a platform.

    :param settings: the settings in force at the start.
    :param load_settings: reads the settings anew.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        reactor,
        load_settings: Callable[[], entry.EntrySettings],
        metrics_port: int = 0,
    ) -> None:
        self.settings = settings
        self.draining = False
        self._reactor = reactor
        self._load_settings = load_settings
        self._metrics_port = metrics_port
        self._work_share = min(
            settings.cpu_share, settings.link_mbps / LINK_MBPS_PER_CORE
        )
        self._incarnation = uuid.uuid4().hex[:8]
        self._rng = random.Random()
        self._lag_s = 0.0
        self._fit = True
        self._tick_due = 0.0
        self._lags: collections.deque = collections.deque(maxlen=LAG_SAMPLES)
        self.log = decision_log.DecisionLog(settings.name, reactor.callLater)
        self.metrics = metrics.EntryMetrics()
        self._pool = client.ChannelPool(reactor, MAX_IDLE_CHANNELS)
        self._standings = outcomes.TargetOutcomes(self._rng)
        self._suspects = suspects.SuspectBook(self._publish_suspect)
        self._store = platform_store.PlatformStore(
            reactor, settings.store_address
        )
        self.mesh = peers.PeerMesh(
            reactor,
            self.log,
            self._own_record(0),
            self._pulse,
            self._heard,
            self._peer_lost,
        )
        self.mesh.wanted = self._wanted_peers
        self.follower = news.NewsFollower(
            reactor,
            self.log,
            self._store,
            wire.DESIRED_KEY,
            documents.decode_desired_state,
            documents.decode_target,
            self._news_changed,
            self.mesh,
        )
        self.stages = cells.StageClient(
            reactor,
            self.log,
            settings.name,
            self._incarnation,
            self._pool,
            self._work_shares,
            self._send,
            lambda *found: self.front.place(*found),
        )
        self.front = front.Front(
            reactor,
            self.log,
            self.follower,
            attempts.Attempts(reactor, self._pool),
            self.stages,
            self._standings,
            self._suspects,
            self._new_budget,
            self.metrics,
            settings.data_centre,
            self._rng,
            self._confirm_death,
        )
        self._callers = server.ServerSite(
            reactor, self.front.handle, self._limits, self._unreadable
        )
        self._operators = server.ServerSite(
            reactor, self._answer_operator, routes.RequestLimits
        )
        self._listeners: list = []
        self._probing: set[str] = set()
        self._known_ids: set[str] = set()
        self._drained: defer.Deferred = defer.Deferred()

    def start(self) -> None:
        """Listen and begin to follow the installation."""
        settings = self.settings
        self._listen(settings.callers_address, self._callers)
        self._listen(settings.ready_address, self._operators)
        if self._metrics_port:
            self._listen((settings.ip, self._metrics_port), self._operators)
        port = self.mesh.listen(settings.peer_ports)
        self.mesh.own = self._own_record(port)
        self.mesh.start()
        self.follower.start()
        defer.Deferred.fromCoroutine(self._find_hosts())
        self._tick_due = time.monotonic() + TICK_S
        self._reactor.callLater(TICK_S, self._tick)
        self.log.notable(
            'started',
            incarnation=self._incarnation,
            data_centre=settings.data_centre,
            peer_port=port,
        )

    def reload(self) -> None:
        """Read the settings anew; a file that cannot be used is ignored."""
        try:
            settings = self._load_settings()
        except exceptions.SettingsError as problem:
            self.log.notable('reload_failed', problem=str(problem))
            return
        self.settings = settings
        self.log.notable('reloaded')

    def drain(self) -> defer.Deferred:
        """Stop gracefully.

        :returns: fires once all answers are out, or shortly before the kill.
        """
        if self.draining:
            return self._drained
        self.draining = True
        self._callers.closing = True
        self.log.notable('stopping', in_flight=len(self.front.in_flight))
        self._drain_started = time.monotonic()
        self._reactor.callLater(TICK_S, self._drain_step)
        return self._drained

    @property
    def ready(self) -> bool:
        """Whether the balancer should send connections."""
        return not self.draining and self.follower.desired is not None

    def _drain_step(self) -> None:
        spent_s = time.monotonic() - self._drain_started
        if spent_s > BALANCER_LEAVES_S:
            self._callers.close_idle(QUIET_CHANNEL_S)
            if not self._callers.channels and not self._busy_cells():
                self._end_drain()
                return
        if spent_s > self.settings.bounds.grace_s - KILL_MARGIN_S:
            self._end_drain()
            return
        self._reactor.callLater(TICK_S, self._drain_step)

    def _end_drain(self) -> None:
        self.log.notable(
            'stopped',
            in_flight=len(self.front.in_flight),
            channels=len(self._callers.channels),
        )
        self.follower.stop()
        self.mesh.stop()
        self.log.flush()
        self._drained.callback(not self.front.in_flight)

    def _busy_cells(self) -> bool:
        return any(
            owner.scheduler.job_count for owner in self.stages.local_owners()
        )

    def _listen(self, address: client.Address, site) -> None:
        self._listeners.append(
            self._reactor.listenTCP(
                address[1], site, backlog=512, interface=address[0]
            )
        )

    def _own_record(self, port: int) -> fleet_messages.HostRecord:
        settings = self.settings
        return fleet_messages.HostRecord(
            settings.name,
            self._incarnation,
            settings.ip,
            port,
            settings.data_centre,
            self._work_share,
        )

    async def _find_hosts(self) -> None:
        """Make this host known, then look who else is there.

        In this order, one of two hosts that start together sees the other.
        """
        own = self.mesh.own
        published = False
        while not self.draining:
            try:
                if not published:
                    await self._store.publish(
                        feeds.Feed.HOSTS,
                        own.name,
                        fleet_messages.encode_host(own),
                    )
                    published = True
                page = await self._store.newest(feeds.Feed.HOSTS)
                break
            except exceptions.LogServiceError as problem:
                self.log.notable('hosts_unknown', problem=str(problem))
                await task.deferLater(self._reactor, PUBLISH_RETRY_S)
        else:
            return
        for record in page.records:
            try:
                self.mesh.learn(
                    fleet_messages.decode_host(record.value or b'')
                )
            except exceptions.CodecError as problem:
                self.log.notable(
                    'host_unreadable', key=record.key, problem=str(problem)
                )

    def _tick(self) -> None:
        now = time.monotonic()
        lag_s = max(0.0, now - self._tick_due)
        self._tick_due = now + TICK_S
        self._reactor.callLater(TICK_S, self._tick)
        self._lags.append(lag_s)
        self._lag_s += LAG_GAIN * (min(lag_s, 0.5) - self._lag_s)
        if self._fit != (
            self._lag_s < (UNFIT_LAG_S if self._fit else FIT_LAG_S)
        ):
            self._fit = not self._fit
            self.log.notable(
                'fit' if self._fit else 'unfit', lag_s=round(self._lag_s, 3)
            )
        self.follower.expire()
        self.front.set_slack(self._retry_slack())
        self.stages.tick()
        self._pool.close_expired()

    def _news_changed(self) -> None:
        desired = self.follower.desired
        targets = self.follower.registry.targets
        for target in targets.values():
            self._suspects.incarnation_seen(
                target.target_id, str(target.incarnation)
            )
        for target_id in self._known_ids - targets.keys():
            self._standings.forget(target_id)
        self._known_ids = set(targets)
        if desired is None:
            return
        self.front.keep_routes(desired)
        rules = {
            service.name: service.batch
            for service in desired.service_by_name.values()
            if service.batch is not None
        }
        self.stages.update(
            rules,
            [target for target in targets.values() if target.service in rules],
        )

    def _work_shares(self) -> dict[str, float]:
        """Return the hosts that take work of others, with their sizes."""
        own = self.settings.name
        shares = {}
        if self._fit and not self.draining:
            shares[own] = self._work_share
        for name, view in self.mesh.view_by_name.items():
            if view.takes_work:
                shares[name] = view.record.work_share
        return shares or {own: 1.0}

    def _wanted_peers(self) -> set[str] | None:
        """Return the peers to link with in a large fleet.

        These are the hosts that own cells or read the store, or will when
        others are lost, and the next ones in the order of names, which keeps
        the fleet connected.
        """
        views = self.mesh.view_by_name
        shares = {name: view.record.work_share for name, view in views.items()}
        shares[self.settings.name] = self._work_share
        wanted: set[str] = set()
        cells_now = ranking.cell_count(self._stage_target_count())
        for cell in range(cells_now):
            able = ranking.able_hosts(shares)
            wanted.update(ranking.rank_hosts(f'cell-{cell}', able)[:3])
        names = sorted(shares)
        position = names.index(self.settings.name)
        for step in (1, 2, 3):
            wanted.add(names[(position + step) % len(names)])
        equal = dict.fromkeys(shares, 1.0)
        wanted.update(ranking.rank_hosts('targets-reader', equal)[:3])
        return wanted

    def _stage_target_count(self) -> int:
        desired = self.follower.desired
        if desired is None:
            return 0
        return sum(
            1
            for target in self.follower.registry.targets.values()
            if (service := desired.service_by_name.get(target.service))
            and service.batch is not None
        )

    def _send(self, name: str, message: fleet_messages.FleetMessage) -> bool:
        return self.mesh.send(name, message)

    def _pulse(self) -> fleet_messages.Pulse:
        return fleet_messages.Pulse(
            self.follower.desired_end,
            self.follower.registry.changed_end,
            min(999.0, round(self.follower.store_age_s(), 2)),
            self._fit,
            self.draining,
        )

    def _heard(self, name: str, message: fleet_messages.FleetMessage) -> None:
        if isinstance(message, fleet_messages.CrashNews):
            self._suspects.merge(
                peer_messages.Suspect(
                    message.digest, message.deaths, message.cleared
                ),
                time.monotonic(),
            )
            return
        self.follower.heard(name, message)
        self.stages.heard(name, message)

    def _peer_lost(self, name: str) -> None:
        self.stages.peer_lost(name)

    def _publish_suspect(self, message: peer_messages.Suspect) -> None:
        self.log.notable(
            'suspect',
            digest=message.digest.hex(),
            deaths=message.deaths,
            cleared=message.cleared,
        )
        self.mesh.broadcast(
            fleet_messages.CrashNews(
                message.digest, tuple(message.deaths), message.cleared
            )
        )

    def _confirm_death(self, target, attempt_id: str) -> None:
        """End an attempt once it is known whether its target died."""

        def alive(channel: client.ClientChannel) -> None:
            channel.close()
            self._suspects.attempt_finished(
                attempt_id, False, time.monotonic()
            )

        def dead(failure) -> None:
            now = time.monotonic()
            self._standings.failed(target, now, unreachable=True)
            self._pool.forget(target.address)
            self._suspects.target_died(
                target.target_id, now, str(target.incarnation)
            )
            self._suspects.attempt_finished(attempt_id, False, now)

        defer.Deferred.fromCoroutine(
            client.connect(self._reactor, target.address, PROBE_TIMEOUT_S)
        ).addCallbacks(alive, dead)

    def _new_budget(self) -> window.WindowBudget:
        bounds = self.settings.bounds
        return window.WindowBudget(
            bounds.retry_ratio, self._retry_slack(), bounds.retry_window_s
        )

    def _retry_slack(self) -> float:
        """Return this host's share of the fleet-wide slack."""
        hosts = max(LEAST_FLEET, 1 + len(self.mesh.view_by_name))
        return self.settings.bounds.retry_slack / hosts

    def _limits(self) -> routes.RequestLimits:
        desired = self.follower.desired
        return desired.limits if desired else routes.RequestLimits()

    def _unreadable(self, status: int) -> None:
        self.log.notable('request_unreadable', status=status)

    def _answer_operator(self, request: server.ServerRequest) -> None:
        path = request.target.split(b'?', 1)[0]
        if path == wire.READINESS_PATH:
            request.respond(200 if self.ready else 503, [], b'')
        elif path == b'/metrics':
            self._set_gauges()
            request.respond(
                200,
                [(b'content-type', b'text/plain; version=0.0.4')],
                self.metrics.render(),
            )
        elif path == b'/v1/status':
            request.respond(
                200,
                [(b'content-type', b'application/json')],
                msgspec.json.encode(self.status()),
            )
        else:
            request.respond(404, [], b'')

    def status(self) -> dict:
        """Return this host's view of itself and the installation."""
        desired = self.follower.desired
        return {
            'ready': self.ready,
            'host': self.settings.name,
            'incarnation': self._incarnation,
            'draining': self.draining,
            'fit': self._fit,
            'in_flight': len(self.front.in_flight),
            'desired_version': desired.version if desired else None,
            'desired_age_s': round(
                time.monotonic() - self.follower.desired_at, 1
            ),
            'targets_read_s': round(self.follower.store_age_s(), 1),
            'targets': {
                target.target_id: {
                    'service': target.service,
                    'data_centre': target.data_centre,
                    'draining': target.draining,
                    **self._standings.describe(target, time.monotonic()),
                }
                for target in self.follower.registry.targets.values()
            },
            'peers': {
                name: {
                    'data_centre': view.record.data_centre,
                    'reachable': view.reachable,
                    'takes_work': view.takes_work,
                }
                for name, view in self.mesh.view_by_name.items()
            },
            'cells': {
                str(cell): owner
                for cell, owner in self.stages.known_owners().items()
            },
        }

    def _set_gauges(self) -> None:
        desired = self.follower.desired
        owners = self.stages.local_owners()
        self.metrics.gauges.update(
            in_flight=len(self.front.in_flight),
            desired_version=desired.version if desired else 0,
            targets=len(self.follower.registry.targets),
            targets_age_seconds=self.follower.store_age_s(),
            peers=sum(
                view.reachable for view in self.mesh.view_by_name.values()
            ),
            store_calls=self._store.calls,
            channels_opened=self._pool.opened,
            stage_calls=sum(owner.batches for owner in owners),
            stage_pieces=sum(owner.batched_pieces for owner in owners),
            loop_lag_seconds=self._lag_s,
            log_lines_dropped=self.log.dropped,
        )
