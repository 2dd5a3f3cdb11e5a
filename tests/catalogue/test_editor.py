"""Tests of repeated catalogue edits."""

from tests.catalogue import fakes
from walnutport.catalogue import editor
from walnutport.catalogue import records
from walnutport.catalogue import snapshot

FIRST = fakes.change_record('c1', 'gold', 0, '{"class_id": "gold"}')
SECOND = fakes.change_record('c2', 'gold', 1, '{"class_id": "gold"}')


def new_editor(log: fakes.FakeLog) -> editor.CatalogueEditor:
    """Return a new editor, as one operator command creates it."""
    return editor.CatalogueEditor(log, fakes.StepClock(), 3.0, fakes.sleep)


def test_repeated_record_does_not_change_the_result_of_an_edit() -> None:
    """Guards against reporting an accepted edit as a conflict."""
    log = fakes.FakeLog()
    for change in (FIRST, SECOND, FIRST):
        log.put(records.encode_change(change))
    ended = fakes.run(new_editor(log).edit(FIRST)).ok
    assert ended.status is editor.EditStatus.ACCEPTED
    assert len(log.records) == 3


def test_repeated_edit_is_recognised_after_its_record_expired() -> None:
    """Guards against appending an edit again that is already in force."""
    log = fakes.FakeLog()
    first = new_editor(log)
    assert fakes.run(first.edit(FIRST)).is_ok()
    found = first.follower.take_snapshot()
    assert found is not None
    log.first = log.put(snapshot.encode_snapshot(found))
    ended = fakes.run(new_editor(log).edit(FIRST)).ok
    assert ended.status is editor.EditStatus.ACCEPTED
    assert len(log.records) == 2
