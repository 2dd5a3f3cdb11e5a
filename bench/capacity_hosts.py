"""Series of hosts and targets; see ``bench.capacity``.

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
# A heartbeat names the limits in use: one for each pipeline of the design.
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
    """Return CPU us for one second: one frame made, one taken of each."""
    origins = [messages.PeerOrigin(name, 1) for name in host_ids(peers)]
    guard = replay.ReplayGuard()
    known = host_membership.HostMembership('me', 8, 1.0)
    sequences = itertools.count()

    def beat() -> None:
        number = next(sequences)
        _CODEC.encode(messages.PeerOrigin('me', 1), number, _HEARTBEAT)
        for frame in frames[number % len(frames)]:
            found = _CODEC.decode(frame)
            guard.check(found.origin, found.sequence, float(number))
            assert isinstance(found.message, messages.Heartbeat)
            known.heartbeat_received(
                found.origin, found.message, float(number)
            )

    frames = [
        [_CODEC.encode(origin, number, _HEARTBEAT) for origin in origins]
        for number in range(100)
    ]
    return slopes.cpu_us(beat, 300)


def _heartbeat_bytes(peers: int) -> float:
    frame = _CODEC.encode(messages.PeerOrigin('host-0001', 1), 9, _HEARTBEAT)
    return float(peers * len(frame))


def _membership(hosts: int) -> host_membership.HostMembership:
    known = host_membership.HostMembership('me', 8, 1.0)
    known.list_read(_hosts(hosts), 0.0)
    return known


def _membership_cpu(hosts: int) -> float:
    """Return CPU us for a second: a look at all, four looks at the heard."""
    known = _membership(hosts)

    def second() -> None:
        known.advance(20.0)
        for _ in range(4):
            frozenset(known.recently_heard_ids(20.0))
            frozenset(known.known_ids())

    return slopes.cpu_us(second, 20)


def _router(hosts: int, targets: int) -> router.StandardRouter:
    found = router.StandardRouter(
        'host-0000',
        'dc-01',
        subset_size=_SUBSET,
        max_ejected_share=0.3,
        rng=random.Random(1),
    )
    found.hosts_changed(host_ids(hosts), 0.0)
    found.targets_changed(many_targets(targets), 0.0)
    return found


def _route_cpu(candidates: int) -> float:
    """Return CPU us of a decision among candidates at 70% load."""
    found = _router(1, candidates)
    rng = random.Random(1)
    running: collections.deque[tuple[str, str]] = collections.deque()
    numbers = itertools.count()

    def decide() -> None:
        number = next(numbers)
        now = number * 0.001
        query = interfaces.RouteQuery(
            'engine', now + 4.0, content_digest=rng.randbytes(16)
        )
        target = found.route(query, now)
        assert target is not None
        found.attempt_started(target.target_id, str(number), query, now)
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
            found.attempt_finished(result, now)

    return slopes.cpu_us(decide, 2_000)


def _watch_cpu(targets: int) -> float:
    """Return CPU us of one look at all targets, four of which a second."""
    known = target_membership.TargetMembership(_POLL_S)
    known.list_read(many_targets(targets), 0.0)
    before = known.usable(1.0)

    def look() -> None:
        known.due_polls(1.0, 0)
        assert known.usable(1.0) == before

    return slopes.cpu_us(look, 10)


def _polls(targets: int) -> float:
    """Return the polls of one second after 5 s of silence of every target."""
    known = target_membership.TargetMembership(_POLL_S)
    known.list_read(many_targets(targets), 0.0)
    used = _router(_HOSTS, targets).known_ids()
    return len(known.due_polls(0.0, targets, used)) / _POLL_S


def _unchanged_list_cpu(targets: int) -> float:
    """Return CPU us of a poll of the list that brought no change."""
    page = host_list.decode_list(_list_body(_HOSTS, targets))
    hosts = host_membership.HostMembership('me', 8, 1.0)
    known = target_membership.TargetMembership(_POLL_S)
    routed = _router(1, 0)

    def read() -> None:
        hosts.list_read(page.hosts_by_id, 0.0)
        known.list_read(page.targets_by_id, 0.0)
        known.usable(0.0)
        routed.hosts_changed({*page.hosts_by_id, 'host-0000'}, 0.0)

    return slopes.cpu_us(read, 10)


def _list_cpu(targets: int) -> float:
    body = _list_body(_HOSTS, targets)
    known = target_membership.TargetMembership(_POLL_S)

    def read() -> None:
        known.list_read(host_list.decode_list(body).targets_by_id, 0.0)

    return slopes.cpu_us(read, 4)


def _subset_cpu(targets: int) -> float:
    names, hosts = list(many_targets(targets)), host_ids(_HOSTS)
    return slopes.cpu_us(
        lambda: subset.choose_subset('host-0000', hosts, names, _SUBSET), 1
    )


def _subset_change_cpu(targets: int) -> float:
    """Return CPU us of the subset when one target came or went."""
    names, hosts = list(many_targets(targets)), host_ids(_HOSTS)
    memory = subset.SubsetCache('host-0000', _SUBSET)
    views = itertools.cycle([names, names[1:]])
    memory.choose(hosts, names)
    return slopes.cpu_us(lambda: memory.choose(hosts, next(views)), 10)


def _target_bytes(targets: int) -> float:
    """Return what the page, the watch and the router keep."""
    body = _list_body(0, targets)

    def build() -> object:
        page = host_list.decode_list(body)
        known = target_membership.TargetMembership(_POLL_S)
        known.list_read(page.targets_by_id, 0.0)
        found = _router(64, 0)
        usable = known.usable(1.0)
        found.targets_changed(usable, 0.0)
        return page, known, found, usable

    return slopes.retained_bytes(build)


_S = slopes.Series
_PEERS = (2, 4, 8, 16)
_KNOWN = (90, 180, 365, 730)
_POOLS = (325, 650, 1_300, 2_600)
SERIES = (
    _S('heartbeat CPU', 'peers', 'us/s', _heartbeat_cpu, _PEERS, 8),
    _S('heartbeat bytes', 'peers', 'B/s', _heartbeat_bytes, _PEERS, 8),
    _S('membership CPU', 'known hosts', 'us/s', _membership_cpu, _KNOWN, 730),
    _S(
        'membership memory',
        'known hosts',
        'B',
        lambda count: slopes.retained_bytes(lambda: _membership(count)),
        _KNOWN,
        730,
    ),
    _S('routing CPU', 'candidates', 'us', _route_cpu, (16, 32, 64, 128), 64),
    _S('target watch CPU', 'targets', 'us', _watch_cpu, _POOLS, 5_200),
    _S('target polls', 'targets', '1/s', _polls, _POOLS, 5_200),
    _S(
        'unchanged list CPU',
        'targets',
        'us',
        _unchanged_list_cpu,
        _POOLS,
        5_200,
    ),
    _S('list CPU', 'targets', 'us', _list_cpu, _POOLS, 5_200),
    _S(
        'list bytes',
        'targets',
        'B',
        lambda count: float(len(_list_body(_HOSTS, count))),
        _POOLS,
        5_200,
    ),
    _S('subset CPU', 'targets', 'us', _subset_cpu, _POOLS, 5_200),
    _S(
        'subset change CPU',
        'targets',
        'us',
        _subset_change_cpu,
        (650, 1_300, 2_600, 3_900),
        5_200,
    ),
    _S('target memory', 'targets', 'B', _target_bytes, _POOLS, 5_200),
)
