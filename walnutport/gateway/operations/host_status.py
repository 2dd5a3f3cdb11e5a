"""Status and metrics of a host for operators."""

import time

from walnutport.config import entry_settings
from walnutport.gateway.entry import request_handler
from walnutport.gateway.operations import decision_log
from walnutport.gateway.operations import metrics
from walnutport.gateway.operations import skew
from walnutport.gateway.operations import stage_report
from walnutport.gateway.peers import peer_relay
from walnutport.gateway.peers import peers
from walnutport.gateway.stages import stage_client
from walnutport.gateway.state import feed_follower
from walnutport.gateway.streams import origin_exchange
from walnutport.gateway.streams import stream_log
from walnutport.gateway.targets import cold_watch
from walnutport.gateway.targets import forwarding
from walnutport.gateway.targets import path_check
from walnutport.gateway.targets import permit_exchange
from walnutport.gateway.targets import target_reports
from walnutport.gateway.targets import target_selector
from walnutport.http1 import channel_pool
from walnutport.membership import loop_lag
from walnutport.platform import store as platform_store
from walnutport.routing import outcomes

__all__ = ['HostStatus']


class HostStatus:
    """Reads status, gauges and counters from the components of a host."""

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        incarnation: str,
        log: decision_log.DecisionLog,
        store: platform_store.PlatformStore,
        pool: channel_pool.ChannelPool,
        follower: feed_follower.FeedFollower,
        mesh: peers.PeerMesh,
        target_outcomes: outcomes.TargetOutcomes,
        selector: target_selector.TargetSelector,
        reports: target_reports.TargetReports,
        origins: origin_exchange.OriginExchange,
        stages: stage_client.StageClient,
        handler: request_handler.RequestHandler,
        forwarder: forwarding.Forwarder,
        lag_monitor: loop_lag.LoopLagMonitor,
        path: path_check.PathCheck,
        relay: peer_relay.PeerRelay,
        cold: cold_watch.ColdWatch,
        permits: permit_exchange.PermitExchange,
        streams: stream_log.StreamLog,
    ) -> None:
        self._streams = streams
        self._cold = cold
        self._permits = permits
        self._path = path
        self._relay = relay
        self._settings = settings
        self._incarnation = incarnation
        self._log = log
        self._store = store
        self._pool = pool
        self._follower = follower
        self._mesh = mesh
        self._outcomes = target_outcomes
        self._selector = selector
        self._reports = reports
        self._origins = origins
        self._stages = stages
        self._handler = handler
        self._forwarder = forwarder
        self._lag_monitor = lag_monitor

    def status(self) -> dict:
        """Return the status, ready to be encoded as JSON."""
        now = time.monotonic()
        desired = self._follower.desired
        skew_by_service = self._skew_by_service(now)
        return {
            'host': self._settings.name,
            'incarnation': self._incarnation,
            'fit': self._lag_monitor.accepts_peer_work,
            'in_flight': len(self._handler.in_flight),
            'reaches_targets': not self._path.is_cut,
            'desired_version': desired.version if desired else None,
            'desired_age_s': round(now - self._follower.desired_at, 1),
            'desired_read_s': round(self._follower.desired_read_age_s(), 1),
            'store_era': self._follower.era,
            'evacuated': self._follower.evacuations.describe(),
            'targets_read_s': round(self._follower.store_age_s(), 1),
            'targets': {
                target.target_id: {
                    'service': target.service,
                    'version': target.software_version,
                    'data_centre': target.data_centre,
                    'draining': target.draining,
                    'share': round(
                        skew_by_service[target.service].share_by_target[
                            target.target_id
                        ],
                        2,
                    ),
                    **self._outcomes.describe(target, now),
                    **self._reports.describe(target, now),
                    **self._permits.describe(target),
                }
                for target in self._follower.registry.targets.values()
            },
            'services': {
                service: found.describe()
                for service, found in skew_by_service.items()
            },
            'peers': {
                name: {
                    'data_centre': peer.record.data_centre,
                    'reachable': peer.reachable,
                    'takes_work': peer.accepts_work,
                }
                for name, peer in self._mesh.peer_by_name.items()
            },
            'cells': {
                str(cell): owner
                for cell, owner in self._stages.known_owners().items()
            },
            'stages': stage_report.status(self._stages.local_owners(), now),
        }

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name, which may include labels."""
        now = time.monotonic()
        desired = self._follower.desired
        values: dict[str, float] = {
            'in_flight': len(self._handler.in_flight),
            'desired_version': desired.version if desired else 0,
            'desired_age_seconds': now - self._follower.desired_at,
            'desired_read_age_seconds': self._follower.desired_read_age_s(),
            **self._follower.gauges(),
            'targets': len(self._follower.registry.targets),
            'targets_age_seconds': self._follower.store_age_s(),
            'data_centres_evacuated': len(
                self._follower.evacuations.state.names
            ),
            'peers': sum(
                peer.reachable for peer in self._mesh.peer_by_name.values()
            ),
            'targets_unreachable': float(self._path.is_cut),
            'loop_lag_seconds': self._lag_monitor.lag_s,
            'loop_lag_peak_seconds': self._lag_monitor.peak_s(now),
            'responses_kept_bytes': self._pool.kept_bytes,
            **self._reports.gauges(),
            **self._cold.gauges(),
            **self._origins.gauges(),
        }
        for service, found in self._skew_by_service(now).items():
            labels = metrics.format_labels(service=service)
            values[f'target_share_max{{{labels}}}'] = found.busiest[1]
            for name, value_by_data_centre in (
                ('target_share', found.share_by_data_centre),
                ('target_slowness', found.slowness_by_data_centre),
            ):
                for data_centre, value in value_by_data_centre.items():
                    labels = metrics.format_labels(
                        service=service, data_centre=data_centre
                    )
                    values[f'{name}{{{labels}}}'] = value
        for service, retries in self._forwarder.available_retries(now).items():
            labels = metrics.format_labels(service=service)
            values[f'retry_budget_left{{{labels}}}'] = retries
        values |= stage_report.gauges(self._stages.local_owners(), now)
        return values

    def _skew_by_service(self, now: float) -> dict[str, skew.ServiceSkew]:
        targets = self._follower.registry.targets.values()
        return {
            service: skew.describe_service(
                found, self._outcomes, self._selector.shares, now
            )
            for service, found in skew.group_by_service(targets).items()
        }

    def totals(self) -> dict[str, float]:
        """Return the counters by name."""
        owners = self._stages.local_owners()
        return {
            'store_calls_total': self._store.call_count,
            **self._follower.totals(),
            'channels_opened_total': self._pool.opened_count,
            'channels_unread_total': self._pool.unread_count,
            'responses_unidentified_total': self._pool.unidentified_count,
            'responses_oversized_total': (
                self._pool.oversized_count + self._store.oversized_count
            ),
            **stage_report.totals(owners),
            'prompt_tokens_placed_total': self._selector.placed_tokens,
            'prompt_tokens_read_total': self._selector.read_tokens,
            'stage_calls_total': sum(owner.total_calls for owner in owners),
            'stage_pieces_total': sum(owner.total_pieces for owner in owners),
            'stage_jobs_not_begun_total': sum(
                owner.scheduler.begin_rules.not_begun_count for owner in owners
            ),
            'stage_seconds_discarded_total': sum(
                owner.scheduler.begin_rules.discarded_s for owner in owners
            ),
            **self._mesh.totals(),
            **self._reports.totals(),
            **self._permits.totals(),
            **self._origins.totals(),
            **self._streams.totals(),
            **self._relay.totals(),
            'log_lines_dropped_total': self._log.dropped_lines,
        }
