"""Tests of the story of a request."""

import json

from walnutport.cli import explain


def log(*records: dict) -> list[str]:
    """Return log lines as a collector prefixes them."""
    return [
        f'  1.2 edge-1 {json.dumps({"time": 100.0 + number, **record})}\n'
        for number, record in enumerate(records)
    ]


def test_refusal_ends_in_its_cause():
    """Guards against a story that leaves the cause open."""
    lines = explain.explain(
        'a',
        log(
            {'host': 'h', 'event': 'refused', 'id': 'a', 'reason': 'overload'},
            {'host': 'h', 'event': 'refused', 'id': 'b', 'reason': 'x'},
            {
                'host': 'h',
                'event': 'finished',
                'id': 'a',
                'outcome': 'overload',
            },
        ),
    )
    assert len(lines) == 3
    assert lines[-1].startswith('cause: refused: its stages')


def test_lost_answer_names_its_target():
    """Guards against a failure that is not led back to a target."""
    lines = explain.explain(
        'a',
        log(
            {'host': 'h', 'event': 'stage_call', 'ids': ['a', 'b']},
            {
                'host': 'h',
                'event': 'attempt_failed',
                'id': 'a',
                'target': 't1',
                'status': 'lost',
                'detail': 'channel lost',
            },
            {'host': 'h', 'event': 'finished', 'id': 'a', 'outcome': 'lost'},
        ),
    )
    assert 'target t1: lost channel lost' in lines[-1]
    assert len(lines) == 4


def test_late_stream_says_where_the_time_went():
    """Guards against a late answer that counts as good."""
    lines = explain.explain(
        'a',
        log(
            {
                'host': 'h',
                'event': 'finished',
                'id': 'a',
                'outcome': 'streamed',
                'late': True,
                'first_s': 2.0,
                'stages_s': 1.8,
            }
        ),
    )
    assert lines[-1].endswith(
        'first answer after 2.0 s, of which stages 1.8 s'
    )


def test_torn_lines_and_unknown_ids():
    """Guards against a command that ends over a torn log."""
    assert explain.explain('a', ['{"time": 1, "id": "a"', 'noise']) == []


def test_refusal_is_not_called_a_late_answer():
    """Guards against a cause that speaks of an answer that never came."""
    lines = explain.explain(
        'a',
        log(
            {'host': 'h', 'event': 'refused', 'id': 'a', 'reason': 'overload'},
            {
                'host': 'h',
                'event': 'finished',
                'id': 'a',
                'outcome': 'overload',
                'late': True,
                'first_s': 2.0,
                'stages_s': 0.0,
            },
        ),
    )
    assert 'late' not in lines[-1]


def test_failure_that_a_target_answered_is_called_a_failure():
    """Guards against a cause that reads like a good answer."""
    lines = explain.explain(
        'a',
        log(
            {
                'host': 'h',
                'event': 'finished',
                'id': 'a',
                'outcome': 'answered',
                'status': 500,
                'targets': ['t1', 't2'],
            },
        ),
    )
    assert lines[-1] == (
        'cause: failed: answered 500 by its last target of t1, t2'
    )


def test_late_answer_to_a_caller_who_came_back_says_so():
    """Guards against a late answer that took no time at all."""
    lines = explain.explain(
        'a',
        log(
            {
                'host': 'h',
                'event': 'finished',
                'id': 'a',
                'outcome': 'answered',
                'status': 200,
                'late': True,
                'returned': True,
                'first_s': 0.1,
                'stages_s': 0.0,
            },
        ),
    )
    assert lines[-1].endswith('the caller had come back after a refusal')
