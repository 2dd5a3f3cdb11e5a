"""Capacity series over claims, catalogue entries, cost rows and suspects."""

import gc

import msgspec

from bench import capacity_teams
from bench import slopes
from walnutport.catalogue import fold as catalogue_fold
from walnutport.catalogue import records as catalogue_records
from walnutport.catalogue import snapshot
from walnutport.claims import fold as claim_fold
from walnutport.claims import records as claim_records
from walnutport.cost import records as cost_records
from walnutport.cost import totals
from walnutport.peer import messages
from walnutport.quarantine import suspects
from walnutport.service.fleet import suspects as suspect_service

__all__ = ['SERIES']

_CLAIMS_PER_BATCH = 50
_HOSTS = 730


def _claim_payloads(count: int) -> list[bytes]:
    """Return encoded batches of claims, each batch from the next host."""
    payloads = []
    for first in range(0, count, _CLAIMS_PER_BATCH):
        number = first // _CLAIMS_PER_BATCH
        owner = claim_records.Owner(f'host-{number % _HOSTS:04}', 1 << 56)
        items = tuple(
            claim_records.Claim(
                f'{n:032x}',
                n.to_bytes(16, 'big'),
                (n * 7919).to_bytes(16, 'big'),
                n // 100,
            )
            for n in range(first, min(first + _CLAIMS_PER_BATCH, count))
        )
        batch = claim_records.Batch(owner, items)
        payloads.append(claim_records.encode_batch(batch))
    return payloads


def _fold_claims(payloads: list[bytes]) -> claim_fold.ClaimFold:
    state = claim_fold.ClaimFold(600.0, 30.0)
    for payload in payloads:
        for _ in state.apply(claim_records.decode_batch(payload), 0.0):
            pass
    return state


def _claim_cpu(claims: int) -> float:
    payloads = _claim_payloads(claims)
    return slopes.cpu_us(lambda: _fold_claims(payloads), 1)


def _claim_fold_bytes(claims: int) -> float:
    payloads = _claim_payloads(claims)
    return slopes.retained_bytes(lambda: _fold_claims(payloads))


def _claim_wire_bytes(claims: int) -> float:
    return float(sum(len(payload) for payload in _claim_payloads(claims)))


def _entries(count: int) -> list[catalogue_fold.Entry]:
    """Return catalogue entries, half members and half contracts."""
    half = count // 2
    contracts = [
        catalogue_fold.Entry(
            catalogue_records.EntryKind.CONTRACT,
            f'entry-{n:04}',
            1,
            f'change-c{n}',
            'op',
            msgspec.json.encode(
                {
                    'entry_id': f'entry-{n:04}',
                    'owner': f'team-{n:04}',
                    'class_id': 'standard',
                    'pipeline_id': f'pipeline-{n % 14:02}',
                    'limits': {'max_in_flight': 50},
                }
            ).decode(),
        )
        for n in range(half)
    ]
    return capacity_teams.member_entries(half) + contracts


def _changes(count: int) -> list[bytes]:
    return [
        catalogue_records.encode_change(
            catalogue_records.ChangeRecord(
                entry.change_id, entry.kind, entry.name, 0, 'op', entry.body
            )
        )
        for entry in _entries(count)
    ]


def _fold_changes(payloads: list[bytes]) -> catalogue_fold.CatalogueFold:
    state = catalogue_fold.CatalogueFold()
    for payload in payloads:
        state.apply(catalogue_records.decode_change(payload))
    state.view()
    return state


def _change_cpu(entries: int) -> float:
    payloads = _changes(entries)
    return slopes.cpu_us(lambda: _fold_changes(payloads), 1)


def _catalogue_bytes(entries: int) -> float:
    payloads = _changes(entries)
    return slopes.retained_bytes(lambda: _fold_changes(payloads))


def _view_cpu(entries: int) -> float:
    """Return CPU us of rebuilding the catalogue view after a change."""
    state = catalogue_fold.CatalogueFold()
    state.merge(_entries(entries))

    def rebuild() -> None:
        state._view = None
        state.view()

    return slopes.cpu_us(rebuild, 5)


def _snapshot(entries: int) -> snapshot.Snapshot:
    return snapshot.Snapshot(entries, tuple(_entries(entries)))


def _snapshot_encode_cpu(entries: int) -> float:
    full_snapshot = _snapshot(entries)
    return slopes.cpu_us(lambda: snapshot.encode_snapshot(full_snapshot), 1)


def _snapshot_load_cpu(entries: int) -> float:
    payload = snapshot.encode_snapshot(_snapshot(entries))

    def load() -> None:
        state = catalogue_fold.CatalogueFold()
        state.merge(snapshot.decode_snapshot(payload).entries)

    return slopes.cpu_us(load, 1)


def _snapshot_bytes(entries: int) -> float:
    return float(len(snapshot.encode_snapshot(_snapshot(entries))))


def _cost_batch(rows: int) -> cost_records.CostBatch:
    return cost_records.CostBatch(
        'host-0001',
        1 << 56,
        9,
        tuple(
            cost_records.CostRow(
                cost_records.CostKey(
                    f'team-{n:04}',
                    f'team-{n:04}',
                    f'entry-{n:04}',
                    'generate',
                ),
                cost_records.CostLine(100, 1, 50_000_000 + n, 25_000),
            )
            for n in range(rows)
        ),
    )


def _cost_encode_cpu(rows: int) -> float:
    batch = _cost_batch(rows)
    return slopes.cpu_us(lambda: cost_records.encode_batch(batch), 100)


def _cost_read_cpu(rows: int) -> float:
    """Return CPU us of decoding one batch and adding it to the totals."""
    payload = cost_records.encode_batch(_cost_batch(rows))

    def decode_and_add() -> None:
        totals.CostTotals().add(cost_records.decode_batch(payload))

    return slopes.cpu_us(decode_and_add, 50)


def _cost_bytes(rows: int) -> float:
    return float(len(cost_records.encode_batch(_cost_batch(rows))))


def _verdicts(count: int) -> bytes:
    return suspect_service.encode_verdicts(
        [
            messages.SuspectReport(
                number.to_bytes(32, 'big'),
                (f'target-{number % 5_200:05}/ab12cd34',),
            )
            for number in range(count)
        ]
    )


def _merge_verdicts(payload: bytes) -> suspects.SuspectTable:
    table = suspects.SuspectTable()
    for verdict in suspect_service.decode_verdicts(payload):
        table.merge(verdict, 0.0)
    return table


def _suspect_cpu(count: int) -> float:
    payload = _verdicts(count)
    return slopes.cpu_us(lambda: _merge_verdicts(payload), 1)


def _suspect_bytes(count: int) -> float:
    payload = _verdicts(count)
    gc.collect()
    return slopes.retained_bytes(lambda: _merge_verdicts(payload))


_Series = slopes.Series
_CLAIMS = (5_000, 10_000, 20_000, 40_000)
_ENTRIES = (500, 1_000, 2_000, 4_000)
_ROWS = (25, 50, 100, 200)
_SUSPECTS = (500, 1_000, 2_000, 4_000)
_DESIGN_ENTRIES = 11_600
SERIES = (
    _Series('claim CPU', 'claims', 'us', _claim_cpu, _CLAIMS, 327_600),
    _Series(
        'claim memory', 'claims', 'B', _claim_fold_bytes, _CLAIMS, 327_600
    ),
    _Series('claim bytes', 'claims', 'B', _claim_wire_bytes, _CLAIMS, 327_600),
    _Series(
        'change CPU', 'entries', 'us', _change_cpu, _ENTRIES, _DESIGN_ENTRIES
    ),
    _Series('view CPU', 'entries', 'us', _view_cpu, _ENTRIES, _DESIGN_ENTRIES),
    _Series(
        'catalogue memory',
        'entries',
        'B',
        _catalogue_bytes,
        _ENTRIES,
        _DESIGN_ENTRIES,
    ),
    _Series(
        'snapshot encode CPU',
        'entries',
        'us',
        _snapshot_encode_cpu,
        _ENTRIES,
        _DESIGN_ENTRIES,
    ),
    _Series(
        'snapshot load CPU',
        'entries',
        'us',
        _snapshot_load_cpu,
        _ENTRIES,
        _DESIGN_ENTRIES,
    ),
    _Series(
        'snapshot bytes',
        'entries',
        'B',
        _snapshot_bytes,
        _ENTRIES,
        _DESIGN_ENTRIES,
    ),
    _Series('cost encode CPU', 'rows', 'us', _cost_encode_cpu, _ROWS, 200),
    _Series('cost read CPU', 'rows', 'us', _cost_read_cpu, _ROWS, 200),
    _Series('cost bytes', 'rows', 'B', _cost_bytes, _ROWS, 200),
    _Series('suspect CPU', 'suspects', 'us', _suspect_cpu, _SUSPECTS, 10_000),
    _Series(
        'suspect memory', 'suspects', 'B', _suspect_bytes, _SUSPECTS, 10_000
    ),
)
