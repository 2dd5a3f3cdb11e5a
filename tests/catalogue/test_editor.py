"""Tests of repeated edits."""

from tests.catalogue import fakes
from walnutport.catalogue import editor
from walnutport.catalogue import records
from walnutport.catalogue import snapshot

FIRST = fakes.change_record('c1', 'gold', 0, '{"class_id": "gold"}')
SECOND = fakes.change_record('c2', 'gold', 1, '{"class_id": "gold"}')


def new_editor(log: fakes.FakeLog) -> editor.CatalogueEditor:
    """Return the editor of one command."""
    return editor.CatalogueEditor(log, fakes.StepClock(), 3.0, fakes.sleep)


def test_a_repeated_record_does_not_change_what_was_decided() -> None:
    """Guards against an accepted edit that is reported as a conflict."""
    log = fakes.FakeLog()
    for change in (FIRST, SECOND, FIRST):
        log.put(records.encode_change(change))
    ended = fakes.run(new_editor(log).edit(FIRST)).ok
    assert ended.status is editor.EditStatus.ACCEPTED
    assert len(log.records) == 3


def test_a_repeated_command_knows_an_edit_whose_record_expired() -> None:
    """Guards against a second append of an edit that is in force."""
    log = fakes.FakeLog()
    first = new_editor(log)
    assert fakes.run(first.edit(FIRST)).is_ok()
    found = first.follower.take_snapshot()
    assert found is not None
    log.first = log.put(snapshot.encode_snapshot(found))
    ended = fakes.run(new_editor(log).edit(FIRST)).ok
    assert ended.status is editor.EditStatus.ACCEPTED
    assert len(log.records) == 2
