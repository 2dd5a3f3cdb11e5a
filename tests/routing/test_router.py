"""Tests of the standard router with its target choice and health."""

import random

from walnutport import interfaces
from walnutport.routing import affinity
from walnutport.routing import health
from walnutport.routing import router
from walnutport import world

OK = interfaces.AttemptStatus.OK
QUERY = interfaces.RouteQuery('rerank', deadline=1e9)


def new_router(count: int, slots: int = 4) -> router.StandardRouter:
    """Return a router with one pool; odd targets are in data centre dc-1."""
    policy = router.StandardRouter(
        'host',
        'dc-0',
        subset_size=64,
        max_ejected_share=0.3,
        rng=random.Random(1),
    )
    targets = {
        f't{number}': world.Target(
            f't{number}',
            'rerank',
            f'dc-{number % 2}',
            world.Address('127.0.0.1', 9),
            slots,
        )
        for number in range(count)
    }
    policy.targets_changed(targets, 0.0)
    return policy


class Pool:
    """Runs attempts one after another on a pool.

    :param slow: target whose attempts take 0.5 s instead of 0.05 s.
    """

    def __init__(self, count: int, slow: str = '') -> None:
        self.router = new_router(count)
        self.slow = slow
        self.now = 0.0
        self.counts: dict[str, int] = {}

    def run(self, requests: int, status=OK) -> None:
        """Run requests one after another, 10 ms apart."""
        for number in range(requests):
            target = self.router.route(QUERY, self.now)
            assert target is not None
            name = target.target_id
            self.counts[name] = self.counts.get(name, 0) + 1
            slow = name == self.slow
            attempt_id = f'a{number}'
            self.router.attempt_started(name, attempt_id, QUERY, self.now)
            self.now += 0.01
            latency_s = 0.5 if slow else 0.05
            result = interfaces.AttemptResult(
                attempt_id, name, 'rerank', status, latency_s
            )
            self.router.attempt_finished(result, self.now)


def test_slow_target_is_ejected_and_recovers() -> None:
    """Guards against a slow target that keeps its load or stays ejected."""
    for count in (2, 3, 4):
        pool = Pool(count, slow='t0')
        pool.run(400)
        assert pool.counts['t0'] < 20
        assert pool.router.health_states()['t0'] == 'ejected'
        pool.slow = ''
        pool.now += health.MAX_PROBE_INTERVAL_S
        pool.run(2_000)
        assert pool.router.health_states()['t0'] == 'healthy'


def test_hung_target_is_ejected_before_its_attempts_end() -> None:
    """Guards against judging health only by attempts that ended."""
    pool = Pool(4)
    pool.run(100)
    for number in range(4):
        pool.router.attempt_started('t0', f'h{number}', QUERY, pool.now)
    pool.now += 5.0
    pool.run(100)
    assert pool.router.health_states()['t0'] == 'ejected'


def test_down_target_gets_no_work_until_it_reports() -> None:
    """Guards against routing to a target that refuses connections."""
    pool = Pool(2)
    not_sent = interfaces.AttemptResult(
        'x', 't0', 'rerank', interfaces.AttemptStatus.NOT_SENT, 0.0
    )
    pool.router.attempt_finished(not_sent, 0.0)
    pool.run(500)
    assert 't0' not in pool.counts
    pool.router.load_reported('t0', world.LoadReport(0, 0, 4), pool.now)
    pool.run(500)
    assert pool.counts['t0'] > 100


def test_pool_with_only_failures_is_not_ejected() -> None:
    """Guards against ejecting targets for failures that requests cause."""
    pool = Pool(4)
    pool.run(200, interfaces.AttemptStatus.FAILED)
    assert set(pool.router.health_states().values()) == {'healthy'}


def test_full_target_is_avoided_while_another_has_a_free_slot() -> None:
    """Guards against queueing at one target while others are idle."""
    policy = new_router(24, slots=2)
    for number in range(48):
        target = policy.route(QUERY, 1.0)
        assert target is not None
        policy.attempt_started(target.target_id, f'a{number}', QUERY, 1.0)
    loads = [
        len(item.started_by_attempt)
        for item in policy._candidates_by_id.values()
    ]
    assert loads == [2] * 24


def test_local_preference_isolation_and_exclusion() -> None:
    """Guards against needless remote calls and two suspects on one target."""
    pool = Pool(4)
    pool.run(200)
    assert pool.counts['t0'] + pool.counts['t2'] > 180
    policy = new_router(4)
    suspect = interfaces.RouteQuery('rerank', 1e9, isolated=True)
    seen = set()
    for number in range(4):
        target = policy.route(suspect, 1.0)
        assert target is not None
        seen.add(target.target_id)
        policy.attempt_started(target.target_id, f'a{number}', suspect, 1.0)
    assert len(seen) == 4
    assert policy.route(suspect, 1.0) is None
    excluded = interfaces.RouteQuery(
        'rerank', 1e9, excluded=frozenset(('t0', 't1', 't2', 't3'))
    )
    assert policy.route(excluded, 1.0) is None


def test_same_content_prefers_the_same_target_on_every_host() -> None:
    """Guards against sending copies of a crashing request to many targets."""
    query = interfaces.RouteQuery(
        'rerank', 1e9, content_digest=b'0123456789abcdef'
    )
    chosen = {new_router(12).route(query, 1.0) for _ in range(5)}
    assert len(chosen) == 1


def test_affinity_is_limited_by_load_and_reset_after_a_gap() -> None:
    """Guards against a popular prefix that overloads the target caching it.

    Also guards against using the index of a target after a sequence gap.
    """
    policy = new_router(8)
    query = interfaces.RouteQuery('rerank', 1e9, prefix_digests=(b'p', b'pq'))
    policy.prefixes.apply(affinity.CacheEvent('t5', 'i', 7, stored=(b'p',)))
    targets = []
    for number in range(8):
        target = policy.route(query, 1.0)
        assert target is not None
        targets.append(target.target_id)
        policy.attempt_started(target.target_id, f'a{number}', query, 1.0)
    assert targets[0] == 't5' and targets.count('t5') < 5
    policy.prefixes.apply(affinity.CacheEvent('t5', 'i', 9, stored=(b'z',)))
    assert policy.prefixes.match_length('t5', (b'p',)) == 0
    assert policy.prefixes.match_length('t5', (b'z',)) == 1
