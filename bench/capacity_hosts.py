"""Capacity series over hosts and targets; see ``bench.capacity``.

The real components run in this process without sockets. Names, sizes and
seeds are fixed.
"""

import collections
import itertools
import random

import msgspec

from bench import slopes
from walnutport.adapters import host_list
from walnutport import interfaces
from walnutport.membership import hosts as host_membership
from walnutport.membership import targets as target_membership
from walnutport.peer import codec
from walnutport.peer import messages
from walnutport.peer import replay
from walnutport.routing import router
from walnutport.routing import subset
from walnutport import world

__all__ = ['SERIES', 'host_ids', 'many_targets']

_HOSTS = 730
_SUBSET = 64
_POLL_S = 5.0
_ADDRESS = world.Address('127.0.0.1', 9)
# A heartbeat lists the limits in use; the design has 14 pipelines with one
# limit each.
_DEMANDS = 14
_CODEC = codec.Codec(codec.Keyring('k1', {'k1': b'k' * 32}))
_HEARTBEAT = messages.Heartbeat(
    data_centre='dc-01',
    ready=True,
    leaving=False,
    catalogue_offset=123_456,
    full=False,
    demands=tuple(
        messages.LimitDemand(f'entry/pipeline-{n:02}', 5, 1, 86_400_000)
        for n in range(_DEMANDS)
    ),
)


def host_ids(count: int) -> list[str]:
    return [f'host-{number:04}' for number in range(count)]


def _hosts(count: int) -> dict[str, world.Host]:
    return {
        host_id: world.Host(host_id, 'dc-01', _ADDRESS)
        for host_id in host_ids(count)
    }


def many_targets(count: int) -> dict[str, world.Target]:
    return {
        f'target-{n:05}': world.Target(
            f'target-{n:05}', 'engine', f'dc-{n % 14:02}', _ADDRESS, 16
        )
        for n in range(count)
    }


def _list_body(hosts: int, targets: int) -> bytes:
    return msgspec.json.encode(
        {
            'hosts': [
                {
                    'host_id': host_id,
                    'data_centre': 'dc-01',
                    'ip': '10.20.30.40',
                    'peer_port': 8081,
                    'leaving': False,
                }
                for host_id in host_ids(hosts)
            ],
            'targets': [
                {
                    'target_id': target_id,
                    'service': 'engine',
                    'data_centre': 'dc-01',
                    'ip': '10.20.30.40',
                    'port': 9000,
                    'slots': 16,
                    'state': 'live',
                }
                for target_id in many_targets(targets)
            ],
        }
    )


def _heartbeat_cpu(peers: int) -> float:
    """Return CPU us of one second of heartbeats.

    One frame is encoded, and one frame of each peer is decoded and applied.
    """
    origins = [messages.PeerOrigin(name, 1) for name in host_ids(peers)]
    replay_guard = replay.ReplayGuard()
    membership = host_membership.HostMembership('me', 8, 1.0)
    sequences = itertools.count()

    def exchange_heartbeats() -> None:
        number = next(sequences)
        _CODEC.encode(messages.PeerOrigin('me', 1), number, _HEARTBEAT)
        for frame in frames[number % len(frames)]:
            received = _CODEC.decode(frame)
            replay_guard.check(
                received.origin, received.sequence, float(number)
            )
            assert isinstance(received.message, messages.Heartbeat)
            membership.heartbeat_received(
                received.origin, received.message, float(number)
            )

    frames = [
        [_CODEC.encode(origin, number, _HEARTBEAT) for origin in origins]
        for number in range(100)
    ]
    return slopes.cpu_us(exchange_heartbeats, 300)


def _heartbeat_bytes(peers: int) -> float:
    frame = _CODEC.encode(messages.PeerOrigin('host-0001', 1), 9, _HEARTBEAT)
    return float(peers * len(frame))


def _membership(hosts: int) -> host_membership.HostMembership:
    membership = host_membership.HostMembership('me', 8, 1.0)
    membership.list_read(_hosts(hosts), 0.0)
    return membership


def _membership_cpu(hosts: int) -> float:
    """Return CPU us of one second of membership checks.

    All hosts are advanced once, and the hosts heard recently are listed four
    times.
    """
    membership = _membership(hosts)

    def run_one_second() -> None:
        membership.advance(20.0)
        for _ in range(4):
            frozenset(membership.recently_heard_ids(20.0))
            frozenset(membership.known_ids())

    return slopes.cpu_us(run_one_second, 20)


def _router(hosts: int, targets: int) -> router.StandardRouter:
    standard_router = router.StandardRouter(
        'host-0000',
        'dc-01',
        subset_size=_SUBSET,
        max_ejected_share=0.3,
        rng=random.Random(1),
    )
    standard_router.hosts_changed(host_ids(hosts), 0.0)
    standard_router.targets_changed(many_targets(targets), 0.0)
    return standard_router


def _route_cpu(candidates: int) -> float:
    """Return CPU us of one routing decision at 70% load."""
    standard_router = _router(1, candidates)
    rng = random.Random(1)
    running: collections.deque[tuple[str, str]] = collections.deque()
    numbers = itertools.count()

    def decide() -> None:
        number = next(numbers)
        now = number * 0.001
        query = interfaces.RouteQuery(
            'engine', now + 4.0, content_digest=rng.randbytes(16)
        )
        target = standard_router.route(query, now)
        assert target is not None
        standard_router.attempt_started(
            target.target_id, str(number), query, now
        )
        running.append((str(number), target.target_id))
        if len(running) > 0.7 * candidates * 16:
            attempt_id, target_id = running.popleft()
            result = interfaces.AttemptResult(
                attempt_id,
                target_id,
                'engine',
                interfaces.AttemptStatus.OK,
                0.5,
            )
            standard_router.attempt_finished(result, now)

    return slopes.cpu_us(decide, 2_000)


def _watch_cpu(targets: int) -> float:
    """Return CPU us of one check of all targets, made four times a second."""
    membership = target_membership.TargetMembership(_POLL_S)
    membership.list_read(many_targets(targets), 0.0)
    usable = membership.usable(1.0)

    def check_targets() -> None:
        membership.due_polls(1.0, 0)
        assert membership.usable(1.0) == usable

    return slopes.cpu_us(check_targets, 10)


def _polls_per_s(targets: int) -> float:
    """Return the polls per second while no target has reported for 5 s."""
    membership = target_membership.TargetMembership(_POLL_S)
    membership.list_read(many_targets(targets), 0.0)
    routed_ids = _router(_HOSTS, targets).known_ids()
    return len(membership.due_polls(0.0, targets, routed_ids)) / _POLL_S


def _unchanged_list_cpu(targets: int) -> float:
    """Return CPU us of applying an unchanged host list."""
    page = host_list.decode_list(_list_body(_HOSTS, targets))
    hosts_known = host_membership.HostMembership('me', 8, 1.0)
    targets_known = target_membership.TargetMembership(_POLL_S)
    standard_router = _router(1, 0)

    def apply_list() -> None:
        hosts_known.list_read(page.hosts_by_id, 0.0)
        targets_known.list_read(page.targets_by_id, 0.0)
        targets_known.usable(0.0)
        standard_router.hosts_changed({*page.hosts_by_id, 'host-0000'}, 0.0)

    return slopes.cpu_us(apply_list, 10)


def _list_cpu(targets: int) -> float:
    body = _list_body(_HOSTS, targets)
    membership = target_membership.TargetMembership(_POLL_S)

    def decode_and_apply() -> None:
        membership.list_read(host_list.decode_list(body).targets_by_id, 0.0)

    return slopes.cpu_us(decode_and_apply, 4)


def _subset_cpu(targets: int) -> float:
    target_ids, hosts = list(many_targets(targets)), host_ids(_HOSTS)
    return slopes.cpu_us(
        lambda: subset.choose_subset('host-0000', hosts, target_ids, _SUBSET),
        1,
    )


def _subset_change_cpu(targets: int) -> float:
    """Return CPU us of updating the subset after a change of one target."""
    target_ids, hosts = list(many_targets(targets)), host_ids(_HOSTS)
    cache = subset.SubsetCache('host-0000', _SUBSET)
    target_lists = itertools.cycle([target_ids, target_ids[1:]])
    cache.choose(hosts, target_ids)
    return slopes.cpu_us(lambda: cache.choose(hosts, next(target_lists)), 10)


def _target_bytes(targets: int) -> float:
    """Return the bytes retained by the list page, membership and router."""
    body = _list_body(0, targets)

    def build() -> object:
        page = host_list.decode_list(body)
        membership = target_membership.TargetMembership(_POLL_S)
        membership.list_read(page.targets_by_id, 0.0)
        standard_router = _router(64, 0)
        usable = membership.usable(1.0)
        standard_router.targets_changed(usable, 0.0)
        return page, membership, standard_router, usable

    return slopes.retained_bytes(build)


_Series = slopes.Series
_PEERS = (2, 4, 8, 16)
_KNOWN = (90, 180, 365, 730)
_POOLS = (325, 650, 1_300, 2_600)
SERIES = (
    _Series('heartbeat CPU', 'peers', 'us/s', _heartbeat_cpu, _PEERS, 8),
    _Series('heartbeat bytes', 'peers', 'B/s', _heartbeat_bytes, _PEERS, 8),
    _Series(
        'membership CPU', 'known hosts', 'us/s', _membership_cpu, _KNOWN, 730
    ),
    _Series(
        'membership memory',
        'known hosts',
        'B',
        lambda count: slopes.retained_bytes(lambda: _membership(count)),
        _KNOWN,
        730,
    ),
    _Series(
        'routing CPU', 'candidates', 'us', _route_cpu, (16, 32, 64, 128), 64
    ),
    _Series('target watch CPU', 'targets', 'us', _watch_cpu, _POOLS, 5_200),
    _Series('target polls', 'targets', '1/s', _polls_per_s, _POOLS, 5_200),
    _Series(
        'unchanged list CPU',
        'targets',
        'us',
        _unchanged_list_cpu,
        _POOLS,
        5_200,
    ),
    _Series('list CPU', 'targets', 'us', _list_cpu, _POOLS, 5_200),
    _Series(
        'list bytes',
        'targets',
        'B',
        lambda count: float(len(_list_body(_HOSTS, count))),
        _POOLS,
        5_200,
    ),
    _Series('subset CPU', 'targets', 'us', _subset_cpu, _POOLS, 5_200),
    _Series(
        'subset change CPU',
        'targets',
        'us',
        _subset_change_cpu,
        (650, 1_300, 2_600, 3_900),
        5_200,
    ),
    _Series('target memory', 'targets', 'B', _target_bytes, _POOLS, 5_200),
)
