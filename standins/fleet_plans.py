"""Plans of fleets of hosts and stand-ins, and the example catalogue."""

import dataclasses
import hashlib
import json

from standins import weight_server

__all__ = [
    'ENGINE_SERVICE',
    'FleetPlan',
    'PoolPlan',
    'STAGES_BY_ENTRY',
    'TOKENS_BY_MEMBER',
    'example_catalogue',
]

TOKENS_BY_MEMBER = {
    'north': 'token-north',
    'south': 'token-south',
    'kiosk': 'token-kiosk',
}
ENGINE_SERVICE = 'engine'


@dataclasses.dataclass(frozen=True, slots=True)
class PoolPlan:
    """Targets of one service.

    :param targets: number of targets.
    :param slots: requests that a target runs at the same time.
    :param events: events of a complete stream.
    :param engine: whether the targets are engines; ``checks_fencing`` and
        ``cache_entries`` apply only to these.
    """

    service: str
    targets: int
    slots: int = 4
    service_ms: float = 10.0
    repeatable: bool = True
    events: int = 16
    event_ms: float = 5.0
    engine: bool = False
    checks_fencing: bool = True
    cache_entries: int = 64


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """Hosts, targets and settings of a fleet.

    :param list_lag_s: delay until a change shows in the host list.
    :param retention_s: retention of log records; 0 keeps all.
    :param proxied: whether hosts reach the log, the list and the targets
        through the fault proxy; ``Fleet.set_faults`` sets its faults.
    :param settings: settings of every host, merged over the defaults.
    :param contracts: contracts besides those of the example catalogue.
    :param models: models of the weight store, which is started only if
        there are any.
    """

    hosts: int = 3
    pools: tuple[PoolPlan, ...] = (
        PoolPlan('encoder', 2),
        PoolPlan('retriever', 2),
        PoolPlan('reranker', 2),
        PoolPlan(ENGINE_SERVICE, 3, slots=8, service_ms=20.0),
        PoolPlan('payments', 2, repeatable=False),
    )
    data_centres: int = 2
    list_lag_s: float = 0.0
    retention_s: float = 0.0
    proxied: bool = False
    settings: dict = dataclasses.field(default_factory=dict)
    contracts: tuple[dict, ...] = ()
    models: tuple[weight_server.StoredModel, ...] = ()


def example_catalogue(contracts: tuple[dict, ...] = ()) -> list[dict]:
    """Return the change records of the example catalogue.

    :param contracts: definitions of additional contracts.
    """
    stages = [
        {'name': name, 'service': name}
        for name in ('encoder', 'retriever', 'reranker')
    ]
    generate = {
        'name': 'generate',
        'service': ENGINE_SERVICE,
        'streams': True,
        'model': 'small',
    }
    confirm = {'name': 'confirm', 'service': 'payments', 'repeatable': False}
    definitions: list[tuple[str, str, dict]] = [
        ('class', 'standard', {'class_id': 'standard', 'weight': 1.0}),
        ('class', 'urgent', {'class_id': 'urgent', 'weight': 4.0}),
        (
            'pipeline',
            'answers',
            {'pipeline_id': 'answers', 'stages': [*stages, generate]},
        ),
        (
            'pipeline',
            'confirmations',
            {
                'pipeline_id': 'confirmations',
                'stages': [*stages, confirm],
            },
        ),
        (
            'contract',
            'summaries',
            {
                'entry_id': 'summaries',
                'owner': 'north',
                'class_id': 'standard',
                'pipeline_id': 'answers',
            },
        ),
        (
            'contract',
            'payments',
            {
                'entry_id': 'payments',
                'owner': 'north',
                'class_id': 'urgent',
                'pipeline_id': 'confirmations',
            },
        ),
    ]
    definitions += [
        ('contract', contract['entry_id'], contract) for contract in contracts
    ]
    definitions += [
        (
            'member',
            member_id,
            {
                'member_id': member_id,
                'token_digests': [hashlib.sha256(token.encode()).hexdigest()],
            },
        )
        for member_id, token in TOKENS_BY_MEMBER.items()
    ]
    return [
        {
            'change_id': f'example-{kind}-{name}',
            'kind': kind,
            'name': name,
            'expected_version': 0,
            'operator': 'example',
            'body': json.dumps(body),
        }
        for kind, name, body in definitions
    ]


STAGES_BY_ENTRY = {
    'summaries': ('encoder', 'retriever', 'reranker', 'generate'),
    'payments': ('encoder', 'retriever', 'reranker', 'confirm'),
}
