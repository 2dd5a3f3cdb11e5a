"""What a host shows of itself and of the installation to operators."""

import time

from walnutport.config import entry
from walnutport.gateway import decision_log
from walnutport.gateway import feed_follower
from walnutport.gateway import forwarding
from walnutport.gateway import peers
from walnutport.gateway import request_handler
from walnutport.gateway import stage_client
from walnutport.http1 import channel_pool
from walnutport.membership import loop_lag
from walnutport.platform import store as platform_store
from walnutport.routing import outcomes

__all__ = ['HostView']


class HostView:
    """Status and gauges, read from the parts of a host."""

    def __init__(
        self,
        settings: entry.EntrySettings,
        incarnation: str,
        log: decision_log.DecisionLog,
        store: platform_store.PlatformStore,
        pool: channel_pool.ChannelPool,
        follower: feed_follower.NewsFollower,
        mesh: peers.PeerMesh,
        standings: outcomes.TargetOutcomes,
        stages: stage_client.StageClient,
        requests: request_handler.RequestHandler,
        forwarder: forwarding.Forwarder,
        own_fitness: loop_lag.LoopLagMonitor,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._log = log
        self._store = store
        self._pool = pool
        self._follower = follower
        self._mesh = mesh
        self._standings = standings
        self._stages = stages
        self._front = requests
        self._forwarder = forwarder
        self._fitness = own_fitness

    def status(self) -> dict:
        """Return the view as it goes out in JSON."""
        now = time.monotonic()
        desired = self._follower.desired
        return {
            'host': self._settings.name,
            'incarnation': self._incarnation,
            'fit': self._fitness.accepts_peer_work,
            'in_flight': len(self._front.in_flight),
            'desired_version': desired.version if desired else None,
            'desired_age_s': round(now - self._follower.desired_at, 1),
            'targets_read_s': round(self._follower.store_age_s(), 1),
            'targets': {
                target.target_id: {
                    'service': target.service,
                    'data_centre': target.data_centre,
                    'draining': target.draining,
                    **self._standings.describe(target, now),
                }
                for target in self._follower.registry.targets.values()
            },
            'peers': {
                name: {
                    'data_centre': view.record.data_centre,
                    'reachable': view.reachable,
                    'takes_work': view.takes_work,
                }
                for name, view in self._mesh.view_by_name.items()
            },
            'cells': {
                str(cell): owner
                for cell, owner in self._stages.known_owners().items()
            },
        }

    def gauges(self) -> dict[str, float]:
        """Return the values of the gauges by name."""
        now = time.monotonic()
        desired = self._follower.desired
        found: dict[str, float] = {
            'in_flight': len(self._front.in_flight),
            'desired_version': desired.version if desired else 0,
            'desired_age_seconds': now - self._follower.desired_at,
            'targets': len(self._follower.registry.targets),
            'targets_age_seconds': self._follower.store_age_s(),
            'peers': sum(
                view.reachable for view in self._mesh.view_by_name.values()
            ),
            'loop_lag_seconds': self._fitness.lag_s,
        }
        for service, left in self._forwarder.budget_left(now).items():
            found[f'retry_budget_left{{service="{service}"}}'] = left
        for owner in self._stages.local_owners():
            for service, load in owner.scheduler.load.by_service(now).items():
                labels = f'{{cell="{owner.cell}",service="{service}"}}'
                found['stage_backlog_seconds' + labels] = load.backlog_s
                found['stage_batch_fill' + labels] = load.batch_fill
        return found

    def totals(self) -> dict[str, float]:
        """Return the values of counters by name."""
        owners = self._stages.local_owners()
        return {
            'store_calls_total': self._store.calls,
            'channels_opened_total': self._pool.opened_count,
            'stage_calls_total': sum(owner.batches for owner in owners),
            'stage_pieces_total': sum(
                owner.batched_pieces for owner in owners
            ),
            'log_lines_dropped_total': self._log.dropped,
        }
