"""Contents that crash their targets, and those in flight by chance."""

import collections
import random

import pytest

from walnutport.quarantine import content_rule
from walnutport.quarantine import suspects
from walnutport.quarantine import suspicion

CONTENT = b'content'
QUARANTINED = suspicion.SuspicionState.QUARANTINED


def platform_table(publish=lambda message: None) -> suspects.SuspectTable:
    """Return a table with probes."""
    return suspects.SuspectTable(publish, content_rule.PROBED_RULE)


def crash(
    table: suspects.SuspectTable,
    target_id: str,
    now: float,
    *digests: bytes,
) -> None:
    """Let a target crash while it runs some contents."""
    for digest in digests:
        table.attempt_started(digest, target_id, f'{target_id}/{digest}', now)
    table.target_died(target_id, now)
    for digest in digests:
        table.attempt_finished(f'{target_id}/{digest}', False, now)


def test_stream_under_two_crashes_may_go_on():
    """Guards against streams refused for good after two crashes."""
    table = platform_table()
    crash(table, 't1', 1.0, CONTENT)
    crash(table, 't2', 2.0, CONTENT)
    assert table.probe_delay_s(CONTENT, 'r', 2.0) == 0


def test_stream_under_a_series_of_crashes_may_go_on():
    """Guards against crashes of something else held against contents.

    Targets that do not run the content die as well.
    """
    table = platform_table()
    for number in range(3):
        crash(table, f't{number}', 1.0 + number, CONTENT)
        crash(table, f'u{number}', 1.0 + number, b'other%d' % number)
    assert table.probe_delay_s(CONTENT, 'r', 3.0) == 0
    crash(table, 't3', 4.0, CONTENT)
    assert table.probe_delay_s(CONTENT, 'r', 4.0) > 0


def test_content_of_three_lone_crashes_waits_for_a_probe():
    """Guards against a content that crashes target after target."""
    table = platform_table()
    for number in range(3):
        crash(table, f't{number}', 1.0 + number, CONTENT)
    assert table.state(CONTENT, 3.0) is QUARANTINED
    assert table.probe_delay_s(CONTENT, 'r', 3.0) == pytest.approx(0.5)
    assert table.probe_delay_s(CONTENT, 'r', 3.6) == 0


def test_probe_that_succeeds_clears_the_content():
    """Guards against a sound content that is refused for an hour."""
    table = platform_table()
    for number in range(3):
        crash(table, f't{number}', 1.0 + number, CONTENT)
    assert table.begin_probe(CONTENT, 'r', 4.0)
    table.attempt_started(CONTENT, 't9', 'r/1', 4.0)
    assert table.probe_delay_s(CONTENT, 'other', 4.1) > 0
    assert table.probe_delay_s(CONTENT, 'r', 4.1) == 0
    table.attempt_finished('r/1', True, 4.5)
    table.end_probe(CONTENT, 'r')
    assert table.state(CONTENT, 4.5) is suspicion.SuspicionState.CLEAR


def test_probe_without_a_result_does_not_prevent_the_next_one():
    """Guards against a content whose probe was lost with its host."""
    sent = []
    table = platform_table(sent.append)
    peer = platform_table()
    for number in range(3):
        crash(table, f't{number}', 1.0 + number, CONTENT)
    assert table.begin_probe(CONTENT, 'r', 4.0)
    for message in sent:
        peer.merge(message, 4.0)
    assert peer.probe_delay_s(CONTENT, 'other', 4.1) > 0
    assert peer.probe_delay_s(CONTENT, 'other', 9.1) == 0
    table.end_probe(CONTENT, 'r')
    assert table.probe_delay_s(CONTENT, 'other', 4.2) == 0


def test_quarantine_without_probes_lasts():
    """Guards against a probe where the rule has none."""
    table = suspects.SuspectTable()
    for number in range(2):
        crash(table, f't{number}', 1.0 + number, CONTENT)
    assert table.probe_delay_s(CONTENT, 'r', 1000.0) == float('inf')
    assert table.probe_delay_s(b'sound', 'r', 1000.0) == 0


# The bounds of the platform: requests with a content that crashes its targets
# that reach targets later than this after the third crash, while it is sent
# again and again.
STABLE_WINDOW_S = 3.0
MAX_LATE_REPEATS = 3


@pytest.mark.parametrize('has_others', [False, True])
def test_content_that_crashes_targets_reaches_few_more(has_others):
    """Guards against probes of all hosts at once, and too often."""
    rng = random.Random(1)
    messages: collections.deque = collections.deque()
    tables: list[suspects.SuspectTable] = []
    for number in range(5):
        tables.append(
            platform_table(
                lambda message, sender=number: messages.append(
                    (now + 0.02, sender, message)
                )
            )
        )
    crashes = []
    running: list[tuple[float, int, str]] = []
    for step in range(14_000):
        now = step * 0.01
        while messages and messages[0][0] <= now:
            _, sender, message = messages.popleft()
            for number, table in enumerate(tables):
                if number != sender:
                    table.merge(message, now)
        for ends_at, number, request_id in list(running):
            if ends_at <= now:
                running.remove((ends_at, number, request_id))
                crash(tables[number], f't{len(crashes)}', now, CONTENT)
                tables[number].end_probe(CONTENT, request_id)
                crashes.append(now)
        if has_others and step % 200 == 0:
            crash(tables[0], f'u{step}', now, b'other%d' % step)
        if step % 10:
            continue
        number = rng.randrange(len(tables))
        if not tables[number].probe_delay_s(CONTENT, f'r{step}', now):
            tables[number].begin_probe(CONTENT, f'r{step}', now)
            running.append((now + 0.2, number, f'r{step}'))
    late = [at for at in crashes if at - 0.2 > crashes[2] + STABLE_WINDOW_S]
    assert len(late) <= MAX_LATE_REPEATS
