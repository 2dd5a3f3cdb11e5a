"""Entry hosts and targets whose machines differ in speed."""

import collections
import concurrent.futures
import time

from standins import platform_fleet
from standins import processes

HOSTS = 3
ENGINES = 6
SPEEDS = (0.6, 1.0, 1.6)
REQUESTS_PER_S = 30
DURATION_S = 9.0
KILLED_AFTER_S = 2.5
FROZEN_AFTER_S = 5.0
RECOVERY_S = 2.0
# An ejected engine is tried again after 0.7 s, then after twice that time, so
# that a host tries it at most twice in the last two seconds.
MAX_PROBES = 2


def metric(fleet: platform_fleet.PlatformFleet, name: str) -> float:
    """Return the sum of a metric over all hosts."""
    total = 0.0
    for port in fleet.ready_ports:
        text = processes.http_request(
            f'http://{platform_fleet.LOOPBACK_IP}:{port}/metrics'
        )
        total += sum(
            float(line.split()[-1])
            for line in text.decode().splitlines()
            if line.startswith(name)
        )
    return total


def prompt_headers(number: int) -> dict[str, str]:
    """Return the headers of a prompt with a shared and a session part."""
    parts = (('shared', 2500), (f's{number % 24}', 3800), (f'{number}', 2890))
    return {
        'Walnutport_Token_Counts': f'{sum(size for _, size in parts)},20',
        'Walnutport_Prompt_Prefix': ','.join(
            f'{part}:{size}' for part, size in parts
        ),
    }


def test_uneven_engines_serve_while_one_is_killed_and_one_freezes(tmp_path):
    """Guards against work that follows a dead engine or an absurd figure.

    Six engines of three speeds have slow spells and report them, but for one
    that reports nonsense. One is killed under load, and one stops responding
    later; neither may take more than the requests that it already had, and
    those of the frozen one that end at their deadline.
    """
    with platform_fleet.PlatformFleet(
        tmp_path, hosts=HOSTS, engine_versions=('v1',) * ENGINES
    ) as fleet:
        names = [f'llm-{number}' for number in range(1, ENGINES + 1)]
        fleet.control_platform(
            speeds={
                'speed_by_target': {
                    name: SPEEDS[number % 3]
                    for number, name in enumerate(names)
                },
                'spell_factor': 2.5,
                'reports': True,
                'absurd_by_target': {names[4]: '-5'},
            }
        )
        started_at = time.monotonic()
        frozen_at = started_at + FROZEN_AFTER_S

        def send(number: int) -> tuple[float, bool]:
            sent_at = time.monotonic()
            answer = fleet.call(
                'write',
                f'id-{number}',
                number % HOSTS,
                **prompt_headers(number),
            )
            return sent_at, answer.status == 200 and answer.complete

        killed = False
        frozen = False
        with concurrent.futures.ThreadPoolExecutor(60) as pool:
            futures = []
            for number in range(int(REQUESTS_PER_S * DURATION_S)):
                elapsed_s = time.monotonic() - started_at
                if elapsed_s > KILLED_AFTER_S and not killed:
                    killed = True
                    fleet.control_platform(kill=[names[0]])
                if elapsed_s > FROZEN_AFTER_S and not frozen:
                    frozen = True
                    fleet.control_platform(modes={names[1]: 'frozen'})
                futures.append(pool.submit(send, number))
                time.sleep(1 / REQUESTS_PER_S)
            sent = [future.result() for future in futures]
        arrivals = {name: fleet.arrivals(name) for name in names}
        invalid = metric(fleet, 'walnutport_target_headers_invalid_total')
    assert killed and frozen
    before = [ok for sent_at, ok in sent if sent_at < frozen_at - 0.5]
    assert all(before)
    served = sum(ok for _, ok in sent)
    assert served >= 0.9 * len(sent)
    assert invalid > 0
    counts = collections.Counter(
        {
            name: sum(at < started_at + KILLED_AFTER_S for at in found)
            for name, found in arrivals.items()
        }
    )
    assert min(counts.values()) > 0
    late = [at for at in arrivals[names[1]] if at > frozen_at + RECOVERY_S]
    assert len(late) <= MAX_PROBES * HOSTS
