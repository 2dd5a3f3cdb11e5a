"""Entry host on a platform: creates, starts and stops its components."""

from collections.abc import Callable
import functools
import random
import time
import uuid

from twisted.internet import defer

from walnutport.config import entry_settings
from walnutport import exceptions
from walnutport.gateway.entry import drain
from walnutport.gateway.entry import remaining_time
from walnutport.gateway.entry import request_handler
from walnutport.gateway.entry import responses
from walnutport.gateway.entry import route_matcher
from walnutport.gateway.entry import stop_decisions
from walnutport.gateway.operations import decision_log
from walnutport.gateway.operations import host_status
from walnutport.gateway.operations import metrics
from walnutport.gateway.operations import operator_site
from walnutport.gateway.peers import host_directory
from walnutport.gateway.peers import peer_relay
from walnutport.gateway.peers import peers
from walnutport.gateway.peers import ports
from walnutport.gateway.peers import suspect_exchange
from walnutport.gateway.peers import work_sharing
from walnutport.gateway.stages import stage_client
from walnutport.gateway.state import evacuation_feed
from walnutport.gateway.state import feed_follower
from walnutport.gateway.streams import history_record
from walnutport.gateway.streams import origin_exchange
from walnutport.gateway.streams import origin_log
from walnutport.gateway.streams import stream_claims
from walnutport.gateway.streams import stream_log
from walnutport.gateway.targets import attempts
from walnutport.gateway.targets import cold_watch
from walnutport.gateway.targets import end_check
from walnutport.gateway.targets import forwarding
from walnutport.gateway.targets import path_check
from walnutport.gateway.targets import permit_exchange
from walnutport.gateway.targets import run_check
from walnutport.gateway.targets import run_reports
from walnutport.gateway.targets import target_reports
from walnutport.gateway.targets import target_selector
from walnutport.http1 import channel_pool
from walnutport.http1 import client_channel
from walnutport.http1 import response_buffer
from walnutport.http1 import server
from walnutport.lifecycle import host_end
from walnutport.membership import loop_lag
from walnutport.peer import capabilities
from walnutport.peer import fleet_messages
from walnutport.platform import documents
from walnutport.platform import record_log
from walnutport.platform import store as platform_store
from walnutport.platform import wire
from walnutport.retries import window_budget
from walnutport.routing import backpressure
from walnutport.routing import eligibility
from walnutport.routing import origin_history
from walnutport.routing import outcomes
from walnutport.world import routes

__all__ = ['EntryHost']

# How often timeouts are checked; the shortest of them are 0.3 s.
TICK_INTERVAL_S = 0.1
# Shares of the memory of the host: for unfinished responses of targets, of
# peers that serve its callers, and of the store, and for responses that
# callers have not read yet.
MAX_KEPT_RESPONSES_SHARE = 0.2
MAX_KEPT_RELAYED_SHARE = 0.1
MAX_KEPT_STORE_SHARE = 0.1
MAX_UNREAD_RESPONSES_SHARE = 0.1
# Idle channels kept per target.
MAX_IDLE_CHANNELS_PER_TARGET = 6
# Link capacity that counts as much as one core in the work share of a host;
# the calls of one cell use a few Mbit/s.
LINK_MBPS_PER_CORE = 50.0
# Least number of hosts assumed while the others are not known yet. Present
# installations have 7 to 9.
MIN_ASSUMED_HOSTS = 7
# Upper bound on the time since the last read of a feed from the store, as
# heartbeats report it.
MAX_REPORTED_STORE_AGE_S = 999.0
# Time in which the responses to requests that are cut off are written, within
# ``drain.KILL_MARGIN_S``.
LAST_RESPONSES_S = 0.1
# Connections that may wait to be accepted while the event loop is busy; in a
# burst, a few hundred arrive.
LISTEN_BACKLOG = 512


class EntryHost:
    """One entry host with all its components.

    :param settings: initial settings.
    :param load_settings: reads the settings again.
    :param metrics_port: further port for readiness, metrics and status; 0
        opens none.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        reactor,
        load_settings: Callable[[], entry_settings.EntrySettings],
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
        self._lag_monitor = loop_lag.LoopLagMonitor()
        self._host_end = host_end.HostEnd()
        self._tick_due_at = 0.0
        self._caller_listeners: list = []
        self._known_target_ids: set[str] = set()
        self.log = decision_log.DecisionLog(settings.name, reactor.callLater)
        self._pool = channel_pool.ChannelPool(
            reactor,
            MAX_IDLE_CHANNELS_PER_TARGET,
            int(settings.memory_bytes * MAX_KEPT_RESPONSES_SHARE),
        )
        self._unread = response_buffer.UnreadBytes(
            int(settings.memory_bytes * MAX_UNREAD_RESPONSES_SHARE)
        )
        self._outcomes = outcomes.TargetOutcomes(rng)
        store = platform_store.PlatformStore(
            reactor,
            settings.store_address,
            lambda problem: self.log.notable(
                'store_era_invalid', problem=problem
            ),
            int(settings.memory_bytes * MAX_KEPT_STORE_SHARE),
        )
        self._mesh = peers.PeerMesh(
            reactor,
            self.log,
            self._own_record(0),
            self._heartbeat,
            self._handle_peer_message,
            self._peer_lost,
        )
        self._work_sharing = work_sharing.WorkSharing(
            self._mesh, self._accepts_work, lambda: self._stages.cell_count
        )
        self._mesh.choose_peers = self._work_sharing.choose_peers
        self._mesh.on_joined = self._peer_joined
        self._path = path_check.PathCheck(
            reactor,
            self.log,
            self._pool,
            lambda: self._follower.registry.targets.values(),
            rng,
            self._path_changed,
        )
        self._evacuations = evacuation_feed.EvacuationFeed(
            self.log,
            self._mesh,
            documents.evacuated_data_centre,
            functools.partial(
                documents.decode_evacuation, data_centres=settings.data_centres
            ),
            self._state_changed,
        )
        self._backpressure = backpressure.TargetBackpressure(
            settings.name, self._mesh.live_names
        )
        self._eligibility = eligibility.Eligibility(
            lambda target_id: self._follower.registry.targets.get(target_id),
            self._backpressure.is_leaving,
            self._evacuations.state.known_since,
        )
        self._suspects = suspect_exchange.SuspectExchange(
            reactor,
            self.log,
            self._mesh,
            self._pool,
            self._outcomes,
            self._path.verify,
            self._eligibility.is_shutting_down,
        )
        self._follower = feed_follower.FeedFollower(
            reactor,
            self.log,
            store,
            wire.DESIRED_KEY,
            documents.decode_desired_state,
            documents.decode_target,
            self._state_changed,
            self._mesh,
            self._store_returned_older,
            self._evacuations,
            settings.is_first_start,
        )
        self._cold = cold_watch.ColdWatch(self.log)
        self._permits = permit_exchange.PermitExchange(
            reactor,
            self._mesh,
            self._cold,
            self._work_sharing,
            lambda: self._stages.cell_count,
            lambda target_id: self._follower.registry.targets.get(target_id),
            self._eligibility.accepts,
        )
        self._reports = target_reports.TargetReports(
            self.log,
            self._mesh,
            self._pool,
            self._backpressure,
            lambda target_id: self._follower.registry.targets.get(target_id),
            self._cold,
        )
        self._selector = target_selector.TargetSelector(
            self._follower,
            self._outcomes,
            self._backpressure,
            self._eligibility,
            settings.data_centre,
            self._permits,
        )
        self._stages = stage_client.StageClient(
            reactor,
            self.log,
            settings.name,
            self._incarnation,
            self._pool,
            self._work_sharing.work_shares,
            self._work_sharing.untried_shares,
            self._mesh.send,
            self._selector.recommend_engine,
            self._reports,
            self._eligibility,
            self._host_end,
            functools.partial(
                self._peer_supports, capabilities.Capability.STAGE_HANDOVER
            ),
        )
        self._reports.on_change = self._stages.target_changed
        self._cold.on_change = self._stages.target_changed
        self._reports.on_load = self._outcomes.update_load
        self._run_reports = run_reports.RunReports(
            reactor, self.log, self._pool
        )
        self._run_check = run_check.RunCheck(
            self.log,
            self._run_reports,
            self._follower.confirmation,
            lambda target_id: self._follower.registry.targets.get(target_id),
        )
        self._forwarder = forwarding.Forwarder(
            self.log,
            attempts.AttemptSender(
                reactor,
                self._pool,
                self._reports,
                lambda call: self._forwarder.admit(call),
                lambda call: self._stop.can_end(
                    call, stop_decisions.Place.SEND
                ),
                lambda call: self._stop.can_deliver(call),
                self._eligibility,
                self._run_check.check,
                self._permits.may_send,
            ),
            self._outcomes,
            self._backpressure,
            self._suspects.table,
            self._suspects.parts,
            self._create_budget,
            self._suspects.check_for_crash,
            self._permits,
            end_check.EndCheck(
                self.log,
                self._run_reports,
                self._path.answers,
                self._follower.confirmation,
                self._states_start,
                lambda: self._follower.registry.targets,
            ).is_complete,
        )
        history = origin_history.OriginHistory(settings.is_first_start)
        self._history_record = history_record.HistoryRecord(
            reactor,
            self.log,
            store,
            history,
            lambda: self._follower.reads_for_peers,
            lambda: self._origins.state_changed(),
        )
        self._origins = origin_exchange.OriginExchange(
            reactor,
            self.log,
            self._mesh,
            self._follower,
            origin_log.OriginLog(
                reactor,
                self.log,
                record_log.PlatformRecordLog(store, wire.BEGUN_TOPIC),
                settings.name,
                lambda: self._mesh.is_partial,
            ),
            history,
            self._history_record,
        )
        entry_metrics = metrics.EntryMetrics()
        self._matcher = route_matcher.RouteMatcher(
            self.log, self._follower, entry_metrics, rng
        )
        self._relay = peer_relay.PeerRelay(
            reactor,
            self.log,
            self._mesh,
            self._path,
            settings.name,
            lambda request, name: self._request_handler.handle(request, name),
            lambda: self.ready,
            self._limits,
            self._unread,
            int(settings.memory_bytes * MAX_KEPT_RELAYED_SHARE),
        )
        self._claims = stream_claims.StreamClaims(
            reactor, self.log, self._mesh
        )
        streams = stream_log.StreamLog(self.log)
        responder = responses.Responder(self.log, entry_metrics, rng, streams)
        remaining = remaining_time.RemainingTime(
            lambda: self._stages.rules_by_service
        )
        self._stop = stop_decisions.StopDecisions(
            self.log,
            self._host_end,
            remaining,
            responder,
            entry_metrics,
            lambda: stop_decisions.has_host_for_callers(
                self._mesh.peer_by_name.values()
            ),
        )
        self._request_handler = request_handler.RequestHandler(
            reactor,
            self.log,
            self._matcher,
            self._selector,
            self._forwarder,
            responder,
            self._stages,
            self._origins,
            self._claims,
            self._relay,
            entry_metrics,
            remaining,
            self._stop,
        )
        self._host_status = host_status.HostStatus(
            settings,
            self._incarnation,
            self.log,
            store,
            self._pool,
            self._follower,
            self._mesh,
            self._outcomes,
            self._selector,
            self._reports,
            self._origins,
            self._stages,
            self._request_handler,
            self._forwarder,
            self._lag_monitor,
            self._path,
            self._relay,
            self._cold,
            self._permits,
            streams,
        )
        self._caller_site = server.ServerSite(
            reactor,
            self._request_handler.handle,
            self._limits,
            self._log_unreadable_request,
            self._unread,
            self._log_unread_response,
        )
        self._operator_site = server.ServerSite(
            reactor,
            operator_site.OperatorSite(
                entry_metrics,
                lambda: self.ready,
                self.status,
                lambda: {
                    **self._host_status.gauges(),
                    'responses_unread_bytes': self._unread.total,
                },
                lambda: {
                    **self._host_status.totals(),
                    'responses_paused_total': self._unread.paused_count,
                    'responses_unread_cut_total': self._unread.cut_count,
                    **self._directory.totals(),
                    **self._run_check.totals(),
                },
            ).handle,
            routes.RequestLimits,
        )
        self._drain = drain.Drain(
            reactor,
            self._caller_site,
            self._has_jobs,
            lambda: self.settings.bounds.grace_s,
            self._host_end,
            self._caller_listeners,
        )
        self._directory = host_directory.HostDirectory(
            reactor,
            self.log,
            store,
            self._mesh,
            rng,
            lambda: self._drain.started,
        )
        self._stopped: defer.Deferred = defer.Deferred()

    def start(self) -> None:
        """Listen, and start to follow the desired state and the targets."""
        settings = self.settings
        self._caller_listeners.append(
            self._listen(settings.caller_address, self._caller_site)
        )
        self._listen(settings.readiness_address, self._operator_site)
        if self._metrics_port:
            self._listen(
                (settings.ip, self._metrics_port), self._operator_site
            )
        port = self._mesh.listen(settings.peer_ports)
        self._mesh.own_record = self._own_record(
            port, self._listen_relay(port + 1)
        )
        self._mesh.start()
        self._follower.start()
        self._history_record.start()
        self._directory.join()
        self._tick_due_at = time.monotonic() + TICK_INTERVAL_S
        self._reactor.callLater(TICK_INTERVAL_S, self._tick)
        self.log.notable(
            'started',
            incarnation=self._incarnation,
            data_centre=settings.data_centre,
            peer_port=port,
            first_start=settings.is_first_start,
        )

    def reload(self) -> None:
        """Read the settings again; invalid ones are logged and ignored."""
        try:
            settings = self._load_settings()
        except exceptions.SettingsError as problem:
            self.log.notable('reload_failed', problem=str(problem))
            return
        self.settings = settings
        self.log.notable('reloaded')

    def drain(self) -> defer.Deferred:
        """Stop gracefully.

        :returns: fires when every response was sent, or shortly before the
            kill; its result is whether every response was sent.
        """
        if not self._drain.started:
            self.log.notable(
                'stopping', in_flight=len(self._request_handler.in_flight)
            )
            self._drain.start().addCallback(self._finish_stop)
            # Peers choose other hosts before they get anything back.
            self._mesh.send_heartbeat()
            self._stages.host_stops()
        return self._stopped

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send connections."""
        return not self._drain.started and self._follower.is_initialized

    def status(self) -> dict:
        """Return the status of this host and what it knows of others."""
        return {
            'ready': self.ready,
            'draining': self._drain.started,
            **self._host_status.status(),
        }

    def _finish_stop(self, _: None) -> None:
        unfinished = list(self._request_handler.in_flight)
        self.log.notable(
            'stopped',
            in_flight=len(unfinished),
            channels=len(self._caller_site.channels),
            cut_after_s=self._drain.arrivals_s(
                call.arrived_at for call in unfinished
            ),
        )
        self._request_handler.cut_off()
        self._follower.stop()
        self._history_record.stop()
        self._mesh.stop()
        self._reactor.callLater(
            LAST_RESPONSES_S if unfinished else 0.0, self._end, not unfinished
        )

    def _end(self, drained: bool) -> None:
        self.log.flush()
        self._stopped.callback(drained)

    def _has_jobs(self) -> bool:
        return any(
            owner.scheduler.job_count for owner in self._stages.local_owners()
        ) or any(call.relayed_by for call in self._request_handler.in_flight)

    def _listen(self, address: client_channel.Address, site):
        return self._reactor.listenTCP(
            address[1], site, backlog=LISTEN_BACKLOG, interface=address[0]
        )

    def _listen_relay(self, first_port: int) -> int:
        """Listen for requests of other hosts' callers and return the port.

        :param first_port: first port that is not in use by this host.
        :returns: 0 if no port is free; this host then serves its own callers.
        """
        try:
            return ports.listen_in_range(
                self._reactor,
                self.settings.ip,
                (first_port, self.settings.peer_ports[1]),
                self._relay.site,
            )
        except exceptions.PeerError as problem:
            self.log.notable('relay_port_missing', problem=str(problem))
            return 0

    def _own_record(
        self, port: int, relay_port: int = 0
    ) -> fleet_messages.HostRecord:
        settings = self.settings
        return fleet_messages.HostRecord(
            settings.name,
            self._incarnation,
            settings.ip,
            port,
            settings.data_centre,
            self._work_share,
            relay_port=relay_port,
            capabilities=capabilities.OWN_CAPABILITIES,
        )

    def _tick(self) -> None:
        now = time.monotonic()
        lag_s = max(0.0, now - self._tick_due_at)
        self._tick_due_at = now + TICK_INTERVAL_S
        self._reactor.callLater(TICK_INTERVAL_S, self._tick)
        if self._lag_monitor.add_sample(lag_s, now):
            self.log.notable(
                'fit' if self._lag_monitor.accepts_peer_work else 'unfit',
                lag_s=round(self._lag_monitor.lag_s, 3),
            )
        self._follower.tick()
        self._forwarder.set_retry_slack(self._retry_slack())
        self._stages.tick()
        self._request_handler.tick()
        self._path.tick()
        self._reports.tick()
        self._cold.tick()
        self._permits.tick()
        self._pool.close_expired()
        self._relay.close_expired()

    def _path_changed(self) -> None:
        """Hand work over when no target is reached, or take it up again."""
        if self._path.is_cut:
            self._pool.close_all()
            self._suspects.retract_recent()
            self._stages.owner_cut(self.settings.name)
        else:
            self._outcomes.end_ejections()
            self._cold.path_restored()
        self._mesh.send_heartbeat()

    def _state_changed(self) -> None:
        desired = self._follower.desired
        targets = self._follower.registry.targets
        for target in targets.values():
            self._suspects.table.incarnation_seen(
                target.target_id, str(target.incarnation)
            )
        for target_id in self._known_target_ids - targets.keys():
            self._selector.forget(target_id)
            self._run_reports.forget(target_id)
        self._known_target_ids = set(targets)
        self._origins.state_changed()
        self._reports.targets_changed()
        if desired is None:
            return
        self._claims.routes_changed(desired)
        self._matcher.drop_missing_routes(desired)
        self._cold.state_changed(desired, targets, self.settings.bounds)
        self._follower.registry.limited_services = self._cold.limited_services
        rules = {
            service.name: service.batch
            for service in desired.service_by_name.values()
            if service.batch is not None
        }
        cell_count = self._stages.cell_count
        self._stages.update_targets(
            rules,
            [target for target in targets.values() if target.service in rules],
        )
        self._selector.cell_count = self._stages.cell_count
        if self._stages.cell_count != cell_count:
            self._mesh.links_changed()

    def _store_returned_older(self) -> None:
        self._directory.publish_again()
        self._origins.store_returned_older()

    def _accepts_work(self) -> bool:
        """Return whether this host takes work of others."""
        return (
            self._lag_monitor.accepts_peer_work
            and not self._drain.started
            and not self._path.is_cut
        )

    def _states_start(self, service_name: str) -> bool:
        """Return whether the targets of a service report their start."""
        desired = self._follower.desired
        service = (
            desired.service_by_name.get(service_name) if desired else None
        )
        return service is not None and (
            service.engine is not None or service.batch is not None
        )

    def _peer_supports(
        self, capability: capabilities.Capability, name: str
    ) -> bool:
        """Return whether a peer understands a kind of message."""
        peer = self._mesh.peer_by_name.get(name)
        return peer is not None and peer.supports(capability)

    def _heartbeat(self, interval_s: float) -> fleet_messages.Heartbeat:
        return fleet_messages.Heartbeat(
            self._follower.desired_version,
            self._follower.registry.era,
            self._follower.registry.changes_end_offset,
            min(
                MAX_REPORTED_STORE_AGE_S,
                round(self._follower.store_age_s(), 2),
            ),
            self._lag_monitor.accepts_peer_work,
            self._drain.started,
            interval_s,
            not self._path.is_cut,
            self._evacuations.state.end,
            min(
                MAX_REPORTED_STORE_AGE_S,
                round(self._follower.desired_read_age_s(), 2),
            ),
            self._follower.reads_targets,
        )

    def _handle_peer_message(
        self, name: str, message: fleet_messages.FleetMessage
    ) -> None:
        if isinstance(message, fleet_messages.CrashReport):
            self._suspects.merge_report(name, message)
            return
        if isinstance(message, fleet_messages.PartReports):
            self._suspects.merge_part_reports(name, message)
            return
        if isinstance(message, fleet_messages.TargetReports):
            self._reports.merge_report(name, message)
            return
        if (
            isinstance(message, fleet_messages.Heartbeat)
            and not message.reaches_targets
        ):
            self._stages.owner_cut(name)
        self._origins.handle_message(name, message)
        self._follower.handle_message(name, message)
        self._stages.handle_message(name, message)
        self._permits.handle_message(name, message)
        self._claims.handle_message(name, message)

    def _peer_joined(self, name: str) -> None:
        self._follower.peer_joined(name)
        self._evacuations.send_update(name)
        self._reports.peer_joined(name)
        self._suspects.peer_joined(name)
        self._origins.peer_joined(name)

    def _peer_lost(self, name: str) -> None:
        self._stages.peer_lost(name)
        self._origins.peer_lost(name)
        self._claims.peer_lost(name)

    def _create_budget(self) -> window_budget.SlidingWindowBudget:
        bounds = self.settings.bounds
        return window_budget.SlidingWindowBudget(
            bounds.retry_ratio, self._retry_slack(), bounds.retry_window_s
        )

    def _retry_slack(self) -> float:
        """Return this host's share of the installation-wide retry slack."""
        hosts = max(MIN_ASSUMED_HOSTS, 1 + len(self._mesh.peer_by_name))
        return self.settings.bounds.retry_slack / hosts

    def _limits(self) -> routes.RequestLimits:
        desired = self._follower.desired
        return desired.limits if desired else routes.RequestLimits()

    def _log_unread_response(self, kept_bytes: int) -> None:
        self.log.notable(
            'response_unread', bytes=kept_bytes, all_bytes=self._unread.total
        )

    def _log_unreadable_request(self, status: int) -> None:
        self.log.notable('request_unreadable', status=status)
