"""What a fleet of stand-ins and hosts consists of."""

import dataclasses
import hashlib
import json

from standins import weight_server

__all__ = [
    'ENGINE',
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
ENGINE = 'engine'


@dataclasses.dataclass(frozen=True, slots=True)
class PoolPlan:
    """Targets of one service."""

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
    """What a fleet consists of.

    :param settings: settings of every host, merged over the defaults.
    :param proxied: whether the fault proxy stands before the log, the list
        and every target; ``Fleet.set_faults`` then sets its faults.
    :param models: models of the weight store, which is started if there
        are any.
    """

    hosts: int = 3
    pools: tuple[PoolPlan, ...] = (
        PoolPlan('encoder', 2),
        PoolPlan('retriever', 2),
        PoolPlan('reranker', 2),
        PoolPlan(ENGINE, 3, slots=8, service_ms=20.0),
        PoolPlan('payments', 2, repeatable=False),
    )
    data_centres: int = 2
    list_lag_s: float = 0.0
    retention_s: float = 0.0
    proxied: bool = False
    settings: dict = dataclasses.field(default_factory=dict)
    contracts: tuple[dict, ...] = ()
    models: tuple[weight_server.StoredModel, ...] = ()


def example_catalogue(extra: tuple[dict, ...] = ()) -> list[dict]:
    """Return change records of the example catalogue.

    :param extra: definitions of further contracts.
    """
    stages = [
        {'name': name, 'service': name}
        for name in ('encoder', 'retriever', 'reranker')
    ]
    generate = {
        'name': 'generate',
        'service': ENGINE,
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
    definitions += [('contract', item['entry_id'], item) for item in extra]
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
