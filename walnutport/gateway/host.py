"""Process of an entry host: owns every part and stops them in order."""

from collections.abc import Callable
import random
import time
import uuid

from twisted.internet import defer

from walnutport.config import entry
from walnutport import exceptions
from walnutport.gateway import attempts
from walnutport.gateway import decision_log
from walnutport.gateway import drain
from walnutport.gateway import feed_follower
from walnutport.gateway import forwarding
from walnutport.gateway import host_directory
from walnutport.gateway import host_view
from walnutport.gateway import metrics
from walnutport.gateway import operator_site
from walnutport.gateway import peers
from walnutport.gateway import request_handler
from walnutport.gateway import responses
from walnutport.gateway import route_matcher
from walnutport.gateway import stage_client
from walnutport.gateway import suspect_exchange
from walnutport.gateway import target_selector
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.http1 import server
from walnutport.membership import loop_lag
from walnutport.membership import ranking
from walnutport.peer import fleet_messages
from walnutport.platform import documents
from walnutport.platform import store as platform_store
from walnutport.platform import wire
from walnutport.retries import window_budget
from walnutport.routing import outcomes
from walnutport.world import routes

__all__ = ['EntryHost']

# How often time-outs are looked at; some of them are 0.3 s.
TICK_S = 0.1
# Idle channels kept to each target.
MAX_IDLE_CHANNELS = 6
# Link that goes with one core of a host that takes work of others: the calls
# of a cell come to some Mbit/s.
LINK_MBPS_PER_CORE = 50.0
# Hosts that are assumed at least while the others are not known yet. Today's
# installations have 7 to 9.
LEAST_FLEET = 7
# Age of the targets that is told to peers at most, in seconds.
MOST_STORE_AGE_S = 999.0
# Connections that wait while the loop is busy; a burst brings some hundred.
LISTEN_BACKLOG = 512


class EntryHost:
    """All parts of one entry host on a platform.

    :param settings: the settings in force at the start.
    :param load_settings: reads the settings anew.
    :param metrics_port: port for metrics; 0 serves none.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        reactor,
        load_settings: Callable[[], entry.EntrySettings],
        metrics_port: int = 0,
    ) -> None:
        self.settings = settings
        self._reactor = reactor
        self._load_settings = load_settings
        self._metrics_port = metrics_port
        self._work_share = min(
            settings.cpu_share, settings.link_mbps / LINK_MBPS_PER_CORE
        )
        self._incarnation = uuid.uuid4().hex[:8]
        rng = random.Random()
        self._fitness = loop_lag.LoopLagMonitor()
        self._tick_due = 0.0
        self._listeners: list = []
        self._known_ids: set[str] = set()
        self.log = decision_log.DecisionLog(settings.name, reactor.callLater)
        self._pool = channel_pool.ChannelPool(reactor, MAX_IDLE_CHANNELS)
        self._standings = outcomes.TargetOutcomes(rng)
        store = platform_store.PlatformStore(reactor, settings.store_address)
        self._mesh = peers.PeerMesh(
            reactor,
            self.log,
            self._own_record(0),
            self._pulse,
            self._heard,
            self._peer_lost,
        )
        self._mesh.wanted = self._wanted_peers
        self._suspects = suspect_exchange.SuspectNews(
            reactor, self.log, self._mesh, self._pool, self._standings
        )
        self._follower = feed_follower.NewsFollower(
            reactor,
            self.log,
            store,
            wire.DESIRED_KEY,
            documents.decode_desired_state,
            documents.decode_target,
            self._news_changed,
            self._mesh,
        )
        choice = target_selector.TargetChoice(
            self._follower, self._standings, settings.data_centre
        )
        self._stages = stage_client.StageClient(
            reactor,
            self.log,
            settings.name,
            self._incarnation,
            self._pool,
            self._work_shares,
            self._mesh.send,
            choice.advise,
        )
        self._forwarder = forwarding.Forwarder(
            self.log,
            attempts.Attempts(reactor, self._pool),
            self._standings,
            self._suspects.book,
            self._new_budget,
            self._suspects.confirm_death,
        )
        counters = metrics.EntryMetrics()
        self._intake = route_matcher.RouteMatcher(
            self.log, self._follower, counters, rng
        )
        self._front = request_handler.RequestHandler(
            reactor,
            self.log,
            self._intake,
            choice,
            self._forwarder,
            responses.Responder(self.log, counters, rng),
            self._stages,
            counters,
        )
        self._view = host_view.HostView(
            settings,
            self._incarnation,
            self.log,
            store,
            self._pool,
            self._follower,
            self._mesh,
            self._standings,
            self._stages,
            self._front,
            self._forwarder,
            self._fitness,
        )
        self._callers = server.ServerSite(
            reactor, self._front.handle, self._limits, self._unreadable
        )
        self._operators = server.ServerSite(
            reactor,
            operator_site.OperatorSite(
                counters,
                lambda: self.ready,
                self.status,
                self._view.gauges,
                self._view.totals,
            ).handle,
            routes.RequestLimits,
        )
        self._drain = drain.Drain(
            reactor,
            self._callers,
            self._has_jobs,
            lambda: self.settings.bounds.grace_s,
        )
        self._directory = host_directory.HostDirectory(
            reactor, self.log, store, self._mesh, lambda: self._drain.begun
        )
        self._stopped: defer.Deferred = defer.Deferred()

    def start(self) -> None:
        """Listen and begin to follow the installation."""
        settings = self.settings
        self._listen(settings.callers_address, self._callers)
        self._listen(settings.ready_address, self._operators)
        if self._metrics_port:
            self._listen((settings.ip, self._metrics_port), self._operators)
        port = self._mesh.listen(settings.peer_ports)
        self._mesh.own = self._own_record(port)
        self._mesh.start()
        self._follower.start()
        defer.Deferred.fromCoroutine(self._directory.join())
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

        :returns: fires once all answers are out, or shortly before the kill,
            with whether every answer is out.
        """
        if not self._drain.begun:
            self.log.notable('stopping', in_flight=len(self._front.in_flight))
            self._drain.begin().addCallback(self._end)
        return self._stopped

    @property
    def ready(self) -> bool:
        """Whether the balancer should send connections."""
        return not self._drain.begun and self._follower.is_informed

    def status(self) -> dict:
        """Return this host's view of itself and the installation."""
        return {
            'ready': self.ready,
            'draining': self._drain.begun,
            **self._view.status(),
        }

    def _end(self, _: None) -> None:
        self.log.notable(
            'stopped',
            in_flight=len(self._front.in_flight),
            channels=len(self._callers.channels),
        )
        self._follower.stop()
        self._mesh.stop()
        self.log.flush()
        self._stopped.callback(not self._front.in_flight)

    def _has_jobs(self) -> bool:
        return any(
            owner.scheduler.job_count for owner in self._stages.local_owners()
        )

    def _listen(self, address: client_channel.Address, site) -> None:
        self._listeners.append(
            self._reactor.listenTCP(
                address[1], site, backlog=LISTEN_BACKLOG, interface=address[0]
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

    def _tick(self) -> None:
        now = time.monotonic()
        lag_s = max(0.0, now - self._tick_due)
        self._tick_due = now + TICK_S
        self._reactor.callLater(TICK_S, self._tick)
        if self._fitness.add_sample(lag_s):
            self.log.notable(
                'fit' if self._fitness.accepts_peer_work else 'unfit',
                lag_s=round(self._fitness.lag_s, 3),
            )
        self._follower.expire()
        self._forwarder.set_slack(self._retry_slack())
        self._stages.tick()
        self._pool.close_expired()

    def _news_changed(self) -> None:
        desired = self._follower.desired
        targets = self._follower.registry.targets
        for target in targets.values():
            self._suspects.book.incarnation_seen(
                target.target_id, str(target.incarnation)
            )
        for target_id in self._known_ids - targets.keys():
            self._standings.forget(target_id)
        self._known_ids = set(targets)
        if desired is None:
            return
        self._intake.keep_routes(desired)
        rules = {
            service.name: service.batch
            for service in desired.service_by_name.values()
            if service.batch is not None
        }
        self._stages.update(
            rules,
            [target for target in targets.values() if target.service in rules],
        )

    def _work_shares(self) -> dict[str, float]:
        """Return the hosts that take work of others, with their sizes."""
        own = self.settings.name
        shares = {}
        if self._fitness.accepts_peer_work and not self._drain.begun:
            shares[own] = self._work_share
        for name, view in self._mesh.view_by_name.items():
            if view.takes_work:
                shares[name] = view.record.work_share
        return shares or {own: 1.0}

    def _wanted_peers(self) -> set[str]:
        """Return the peers to link with in a large fleet."""
        shares = {
            name: view.record.work_share
            for name, view in self._mesh.view_by_name.items()
        }
        shares[self.settings.name] = self._work_share
        return ranking.hosts_to_link(
            self.settings.name, shares, self._stages.cell_count
        )

    def _pulse(self) -> fleet_messages.Heartbeat:
        return fleet_messages.Heartbeat(
            self._follower.desired_end,
            self._follower.registry.changed_end,
            min(MOST_STORE_AGE_S, round(self._follower.store_age_s(), 2)),
            self._fitness.accepts_peer_work,
            self._drain.begun,
        )

    def _heard(self, name: str, message: fleet_messages.FleetMessage) -> None:
        if isinstance(message, fleet_messages.CrashReport):
            self._suspects.heard(message)
            return
        self._follower.heard(name, message)
        self._stages.heard(name, message)

    def _peer_lost(self, name: str) -> None:
        self._stages.peer_lost(name)

    def _new_budget(self) -> window_budget.SlidingWindowBudget:
        bounds = self.settings.bounds
        return window_budget.SlidingWindowBudget(
            bounds.retry_ratio, self._retry_slack(), bounds.retry_window_s
        )

    def _retry_slack(self) -> float:
        """Return this host's share of the fleet-wide slack."""
        hosts = max(LEAST_FLEET, 1 + len(self._mesh.view_by_name))
        return self.settings.bounds.retry_slack / hosts

    def _limits(self) -> routes.RequestLimits:
        desired = self._follower.desired
        return desired.limits if desired else routes.RequestLimits()

    def _unreadable(self, status: int) -> None:
        self.log.notable('request_unreadable', status=status)
