"""Status and metrics of the admission of stage jobs."""

from collections.abc import Iterable

from walnutport.gateway.operations import metrics
from walnutport.gateway.stages import cell_owner

__all__ = ['gauges', 'status', 'totals']


def status(
    owners: Iterable[cell_owner.CellOwner], now: float
) -> dict[str, dict]:
    """Return the contended services and the places of each cell."""
    return {
        str(owner.cell): {
            'jobs': owner.scheduler.job_count,
            'return_places': len(owner.scheduler.cell_load.returns),
            'contended': {
                service: {
                    kind: {
                        'demand_s': round(demand_s, 3),
                        'share_s': round(min(demand_s, share_s), 3),
                    }
                    for kind, (demand_s, share_s) in shares.items()
                }
                for service, shares in (
                    owner.scheduler.cell_load.shares_by_kind(now).items()
                )
            },
        }
        for owner in owners
    }


def gauges(
    owners: Iterable[cell_owner.CellOwner], now: float
) -> dict[str, float]:
    """Return the gauges by name with labels."""
    values: dict[str, float] = {}
    for owner in owners:
        load = owner.scheduler.cell_load
        cell = f'cell="{owner.cell}"'
        for service, stage_load in load.load_by_service(now).items():
            names = metrics.format_labels(service=service)
            labels = f'{{{cell},{names}}}'
            values['stage_backlog_seconds' + labels] = stage_load.backlog_s
            values['stage_batch_fill' + labels] = stage_load.batch_fill
            values['stage_late_seconds' + labels] = stage_load.late_s
            values['stage_reserved_seconds' + labels] = stage_load.reserved_s
            values['stage_room_reserved_bytes' + labels] = (
                owner.scheduler.begin_rules.reserved_bytes(service)
            )
        values[f'stage_return_places{{{cell}}}'] = len(load.returns)
        for service, shares in load.shares_by_kind(now).items():
            for kind, (demand_s, share_s) in shares.items():
                names = metrics.format_labels(service=service, kind=str(kind))
                labels = f'{{{cell},{names}}}'
                values['stage_demand_seconds' + labels] = demand_s
                values['stage_share_seconds' + labels] = min(demand_s, share_s)
    return values


def totals(owners: Iterable[cell_owner.CellOwner]) -> dict[str, float]:
    """Return the counters by name with labels."""
    values: dict[str, float] = {}
    for owner in owners:
        cell = f'cell="{owner.cell}"'
        returns = owner.scheduler.cell_load.returns
        values[f'stage_places_granted_total{{{cell}}}'] = returns.granted_count
        values[f'stage_places_expired_total{{{cell}}}'] = returns.expired_count
        for key, count in owner.scheduler.gate.counts.by_key.items():
            route, team, event = key
            names = metrics.format_labels(route=route, team=team, event=event)
            labels = f'{cell},{names}'
            values[f'stage_jobs_total{{{labels}}}'] = count
    return values
