"""Parts of prompts that crash each engine that begins an answer on them."""

import collections
import concurrent.futures
import dataclasses
import threading
import time

import pytest

from standins import fault_proxy
from standins import platform_fleet

HOSTS = 3
CRASHING_PARTS = ('bad0', 'bad1')
# Bounds of the platform: time after the fifth crash in which no more than
# three requests with the part may reach engines, and the time from which sound
# requests with the same first part or key have to be served again.
STABLE_S = 3.0
MAX_LATE_ARRIVALS = 3
SOUND_AGAIN_S = 2 * STABLE_S
SOUND_SHARE = 0.5
SOUND_PER_S = 12
CRASHING_PER_S = 3
DURATION_S = 14.0


@dataclasses.dataclass(frozen=True)
class Sent:
    """Request of a caller and the time at which it was sent."""

    request_id: str
    sent_at: float
    is_sound: bool
    served: bool


def prompt_headers(*parts: str) -> dict[str, str]:
    """Return the headers of a prompt; the last part is its own."""
    return {
        'Walnutport_Model': 'm',
        'Walnutport_Token_Counts': f'{100 * len(parts)},20',
        'Walnutport_Prompt_Prefix': ','.join(f'{part}:100' for part in parts),
    }


def send_requests(
    fleet: platform_fleet.PlatformFleet, prompts: tuple[tuple[str, ...], ...]
) -> list[Sent]:
    """Send sound requests and such with crashing parts for some seconds.

    :param prompts: parts of the latter before their own, in turn.
    """

    def send(number: int, is_sound: bool) -> Sent:
        kind = 'sound' if is_sound else 'crashing'
        request_id = f'{kind}-{number}'
        own = f'{number:x}'
        if is_sound:
            parts = ('a1', f'b{number % 4}', own)
        else:
            parts = (*prompts[number % len(prompts)], own)
        sent_at = time.monotonic()
        answer = fleet.call(
            'write',
            request_id,
            number % HOSTS,
            body=own.encode(),
            **prompt_headers(*parts),
        )
        return Sent(
            request_id,
            sent_at,
            is_sound,
            answer.status == 200 and answer.complete,
        )

    with concurrent.futures.ThreadPoolExecutor(40) as pool:
        futures = []
        per_s = SOUND_PER_S + CRASHING_PER_S
        for number in range(int(DURATION_S * per_s)):
            is_sound = number % per_s >= CRASHING_PER_S
            futures.append(pool.submit(send, number, is_sound))
            time.sleep(1 / per_s)
        return [future.result() for future in futures]


@pytest.mark.parametrize(
    ('prompts', 'changes'),
    [
        pytest.param((('a1', 'bad0'),), {}, id='after_a_shared_part'),
        pytest.param((('bad0', 'a1'),), {}, id='first_part'),
        pytest.param(
            (('a1', 'bad0'),), {'crashes_unframed': True}, id='ended_by_close'
        ),
        pytest.param((('a1', 'b0', 'bad0'),), {}, id='third_part'),
        pytest.param(
            (('a1', 'b0', 'bad0'), ('a1', 'b1', 'bad1')), {}, id='two_parts'
        ),
        pytest.param(
            (('a1', 'b0', 'bad0'),),
            {'crash_delay_ms': 1000.0},
            id='after_a_second',
        ),
        pytest.param(
            (('a1', 'b0', 'bad0'),),
            {'crash_delay_ms': 900.0, 'events_before_crash': 5},
            id='after_five_events',
        ),
    ],
)
def test_part_that_crashes_engines_is_refused_and_sound_requests_served(
    tmp_path, prompts, changes, cuts=(), proxied=False
):
    """Guards against different requests with one part that end all engines.

    No two of them are alike, so that each was new to the suspect table.
    """
    with platform_fleet.PlatformFleet(
        tmp_path,
        HOSTS,
        engine_versions=('v1',) * 5,
        cut_hosts=1 if cuts else 0,
        proxied=proxied,
    ) as fleet:
        for host in range(HOSTS):
            fleet.wait_for_event('peer_joined', host)
        fleet.control_platform(crashing_parts=CRASHING_PARTS, **changes)
        timers = [
            threading.Timer(at_s, fleet.cut_targets, [faults])
            for at_s, faults in cuts
        ]
        for timer in timers:
            timer.start()
        sent = send_requests(fleet, prompts)
        for timer in timers:
            timer.join()
        crashes = fleet.crashes()
        arrivals = collections.Counter(
            run['request_id'] for run in fleet.all_runs()
        )
    # Without five crashes, the times count from the last one.
    counted_from = crashes[:5][-1]
    late = [
        request.request_id
        for request in sent
        if not request.is_sound
        and request.sent_at > counted_from + STABLE_S
        and arrivals[request.request_id]
    ]
    assert len(late) <= MAX_LATE_ARRIVALS, (len(crashes), late)
    again = [
        request.served
        for request in sent
        if request.is_sound and request.sent_at > counted_from + SOUND_AGAIN_S
    ]
    assert len(again) >= 20
    assert sum(again) > SOUND_SHARE * len(again), (sum(again), len(again))


@pytest.mark.parametrize(
    'faults',
    [fault_proxy.Faults(reset=True), fault_proxy.Faults(black_hole=True)],
    ids=['reset', 'silent'],
)
def test_cut_while_a_part_is_under_suspicion(tmp_path, faults):
    """Guards against a host that takes its own cut for crashes by a part."""
    test_part_that_crashes_engines_is_refused_and_sound_requests_served(
        tmp_path,
        (('a1', 'b0', 'bad0'),),
        {},
        ((0.5, faults), (3.0, fault_proxy.Faults())),
    )


@pytest.mark.parametrize('changes', [{}, {'crashes_unframed': True}])
def test_crashes_behind_an_intermediary(tmp_path, changes):
    """Guards against crashes that hosts do not notice.

    The intermediary accepts connections for a target that is down, and closes
    them.
    """
    test_part_that_crashes_engines_is_refused_and_sound_requests_served(
        tmp_path, (('a1', 'b0', 'bad0'),), changes, proxied=True
    )
