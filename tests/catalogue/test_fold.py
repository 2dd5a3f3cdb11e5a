"""Tests of the catalogue fold."""

from walnutport.catalogue import fold
from walnutport.catalogue import records


def change(change_id: str, expected: int, body: str) -> records.ChangeRecord:
    """Return a change of the service class ``gold``."""
    return records.ChangeRecord(
        change_id,
        records.EntryKind.SERVICE_CLASS,
        'gold',
        expected,
        'operator',
        body,
    )


def test_one_of_two_concurrent_edits_is_accepted() -> None:
    """Guards against a lost update when two operators edit one entry."""
    state = fold.CatalogueFold()
    first = state.apply(change('a', 0, '{"class_id": "gold", "weight": 2}'))
    second = state.apply(change('b', 0, '{"class_id": "gold", "weight": 3}'))
    assert (first.accepted, second.accepted) == (True, False)
    assert state.view().classes_by_id['gold'].weight == 2


def test_a_tombstone_keeps_the_version() -> None:
    """Guards against a merge that restores a deleted entry."""
    state = fold.CatalogueFold()
    state.apply(change('a', 0, '{"class_id": "gold"}'))
    old = state.entries()
    state.apply(change('b', 1, ''))
    assert state.merge(old) == 0
    assert 'gold' not in state.view().classes_by_id
