"""Tests of where streams began, and when one version explains it."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from walnutport.routing import stream_origins
from walnutport.world import registrations
from walnutport.world import routes

TIMEOUT_S = 15.0
RETENTION_S = TIMEOUT_S + stream_origins.RETENTION_MARGIN_S
INTERVAL_S = 1.2
V1 = stream_origins.StreamOrigin('llm', 'v1')
V2 = stream_origins.StreamOrigin('llm', 'v2')


def route(*services: str, name: str = 'r') -> routes.Route:
    """Return a route of streams that is split between services."""
    return routes.Route(
        name=name,
        host='h',
        path_prefix='/',
        kind=routes.RequestKind.STREAM,
        weight_by_service=dict.fromkeys(services, 1.0),
        timeout_s=TIMEOUT_S,
        latency_target_s=1.0,
        max_targets=2,
        priority=1,
        anonymous=False,
        resumable=True,
        max_event_gap_s=0.4,
        event_patience_s=2.0,
        stages=(),
    )


def target(
    version: str, service: str = 'llm', sequence: int = 0
) -> registrations.RegisteredTarget:
    """Return a target."""
    return registrations.RegisteredTarget(
        f'{service}-{version}',
        1,
        service,
        ('10.0.0.1', 80),
        'a',
        4,
        False,
        0.0,
        sequence,
        version,
    )


def history(
    *targets: registrations.RegisteredTarget,
    services: tuple[str, ...] = ('llm',),
    is_complete: bool = True,
) -> stream_origins.OriginHistory:
    """Return a history that begins at time 0."""
    found = stream_origins.OriginHistory(INTERVAL_S, is_complete)
    found.update_routes([route(*services)], 0.0)
    found.update_targets(targets, 0.0)
    return found


def test_removed_version_counts_while_its_streams_may_be_taken_up():
    """Guards against a release that hides where older streams began."""
    found = history(target('v1'))
    assert found.sole_origin('r', 1.0) == V1
    found.update_targets([target('v1'), target('v2')], 2.0)
    assert found.sole_origin('r', 2.0) is None
    assert found.ambiguous_routes(2.0) == {'r'}
    found.update_targets([target('v2')], 3.0)
    assert found.sole_origin('r', 3.0 + RETENTION_S - 0.1) is None
    assert found.sole_origin('r', 3.0 + RETENTION_S) == V2
    assert not found.ambiguous_routes(3.0 + RETENTION_S)


def test_service_that_a_route_has_left_counts_as_well():
    """Guards against a stream that goes on at the new service of its route."""
    found = history(target('v1'), target('v1', 'other'))
    found.update_routes([route('other')], 5.0)
    assert found.sole_origin('r', 6.0) is None
    assert found.sole_origin('r', 5.0 + RETENTION_S) == (
        stream_origins.StreamOrigin('other', 'v1')
    )


def test_shorter_timeout_does_not_shorten_the_history():
    """Guards against streams that began under a longer timeout."""
    found = history(target('v1'), target('v2'))
    found.update_targets([target('v2')], 1.0)
    short = dataclasses.replace(route('llm'), timeout_s=TIMEOUT_S / 2)
    found.update_routes([short], 2.0)
    assert found.sole_origin('r', TIMEOUT_S) is None


def test_split_route_has_no_sole_origin():
    """Guards against a stream that goes on at another service."""
    found = history(
        target('v1'), target('v1', 'other'), services=('llm', 'other')
    )
    assert found.sole_origin('r', 1.0) is None


def test_service_without_targets_has_no_origin():
    """Guards against an origin that no target has."""
    assert history().sole_origin('r', 1.0) is None


def test_restarted_host_has_no_history_at_first():
    """Guards against a host that takes what it sees for all there was."""
    found = history(target('v1'), is_complete=False)
    assert not found.is_complete(RETENTION_S - 0.1)
    assert found.is_complete(RETENTION_S)
    assert history(target('v1')).is_complete(0.0)


@pytest.mark.parametrize('youngest, expected', [(16, False), (17, True)])
def test_long_lived_targets_show_that_no_release_is_in_progress(
    youngest, expected
):
    """Guards against refused streams after all hosts have restarted."""
    targets = [
        target('v1', sequence=90),
        target('v1', sequence=youngest),
        target('v1', 'other', sequence=1),
    ]
    found = history(*targets, is_complete=False)
    assert found.is_settled('llm', targets) is expected
    assert not found.is_settled('absent', targets)


def test_first_record_of_a_stream_stays():
    """Guards against a late message that moves a stream."""
    origins = stream_origins.StreamOrigins()
    origins.record('a', V1, 'r', 0.0, is_own=True)
    origins.record('a', V2, 'r', 1.0, is_own=False)
    assert origins.find('a', 1.0) == V1
    assert origins.find('a', origins.retention_s) is None
    assert origins.find('b', 1.0) is None


def test_streams_are_told_once():
    """Guards against messages that repeat, and against forgotten ones."""
    origins = stream_origins.StreamOrigins()
    origins.record('a', V1, 'r', 0.0, is_own=True)
    origins.record('b', V2, 'r', 0.0, is_own=True)
    origins.record('c', V1, 'quiet', 0.0, is_own=True)
    origins.record('d', V1, 'r', 0.0, is_own=False)
    assert origins.take_untold({'r'}, 1.0) == {
        ('r', V1): ['a'],
        ('r', V2): ['b'],
    }
    assert origins.take_untold({'r'}, 1.0) == {}
    assert origins.take_untold({'r', 'quiet'}, 1.0) == {('quiet', V1): ['c']}


def test_memory_is_bounded(monkeypatch):
    """Guards against a table that grows with the load."""
    monkeypatch.setattr(stream_origins, 'MAX_ORIGINS', 10)
    origins = stream_origins.StreamOrigins()
    for number in range(25):
        origins.record(str(number), V1, 'r', 0.0, is_own=True)
    assert len(origins) == 10
    assert origins.dropped_count == 15
    (told,) = origins.take_untold({'r'}, 0.0).values()
    assert set(told) == {str(number) for number in range(15, 25)}


@hypothesis.given(
    st.lists(
        st.tuples(
            st.floats(0.0, 12.0), st.sets(st.sampled_from(['v1', 'v2', 'v3']))
        ),
        max_size=30,
    ),
    st.floats(0.0, 40.0),
)
def test_sole_origin_is_that_of_every_stream_that_may_be_taken_up(
    changes, wait_s
):
    """Guards against a version that served lately and is forgotten."""
    found = history(target('v1'))
    now = 0.0
    # Versions, and until when each of them has served.
    served_until = {'v1': 0.0}
    present = {'v1'}
    for step_s, versions in changes:
        now += step_s
        for version in present:
            served_until[version] = now
        present = versions
        found.update_targets([target(name) for name in sorted(present)], now)
    now += wait_s
    for version in present:
        served_until[version] = now
    possible = {
        version
        for version, until in served_until.items()
        if now - until < RETENTION_S
    }
    sole = found.sole_origin('r', now)
    assert (sole is None) == (len(possible) != 1)
    if sole is not None:
        assert {sole.version} == possible
