"""Demo: three hosts, the stand-ins and a caller that sends 200 requests.

One host is stopped gracefully and one target is killed during the run. The
last line is a summary. The exit status is 0 only if every request is accounted
for and no guarantee was violated.
"""

import sys
import time

from standins import caller
from standins import checker
from standins import fleet
from standins import fleet_plans
from standins import ledger
from standins import processes

__all__ = ['main']

_REQUESTS = 200
_REQUEST_MIX = (
    # entry, keyed, streamed, count
    ('summaries', False, False, 90),
    ('summaries', False, True, 60),
    ('payments', True, False, 50),
)
_RATE_PER_S = 20.0
_ANSWER_TIMEOUT_S = 50.0


def main() -> int:
    """Run the demo and return the exit status."""
    assert sum(part[-1] for part in _REQUEST_MIX) == _REQUESTS
    with fleet.Fleet(fleet_plans.FleetPlan()) as running:
        _print(f'{len(running.hosts_by_id)} hosts ready')
        sender = running.start_caller(_loads())
        _wait_answers(running, sender, _REQUESTS // 4)
        _print('stopping host-3 gracefully')
        exit_code = running.hosts_by_id['host-3'].terminate()
        _print(f'host-3 exited with {exit_code}')
        _wait_answers(running, sender, _REQUESTS // 2)
        _print('killing target encoder-1')
        running.targets_by_id['encoder-1'].kill()
        _wait_answers(running, sender, _REQUESTS)
        report = running.check_ledger()
    for finding in report.findings:
        _print(finding)
    _print(
        f'demo: sent={report.sent} complete={report.complete} '
        f'refused={report.not_run} unknown={report.unknown + report.failed} '
        f'lost={report.lost} doubled={report.doubled} '
        f'misdelivered={report.misdelivered}'
    )
    return 0 if exit_code == 0 and _is_accounted_for(report) else 1


def _loads() -> tuple[caller.Load, ...]:
    return tuple(
        caller.Load(
            member_id='north',
            token=fleet_plans.TOKENS_BY_MEMBER['north'],
            entry_id=entry_id,
            rate_per_s=_RATE_PER_S * count / _REQUESTS,
            count=count,
            keyed=keyed,
            stream=streamed,
        )
        for entry_id, keyed, streamed, count in _REQUEST_MIX
    )


def _wait_answers(
    running: fleet.Fleet, sender: processes.ManagedProcess, count: int
) -> None:
    started = time.monotonic()
    answered = 0
    while answered < count and time.monotonic() - started < _ANSWER_TIMEOUT_S:
        time.sleep(0.2)
        answered = sum(
            event.kind is ledger.EventKind.ANSWERED
            and event.outcome != 'disconnected'
            for event in ledger.read_ledger(running.ledger_folder)
        )
        if not sender.is_running():
            break
    _print(f'{answered} of {_REQUESTS} answered')


def _is_accounted_for(report: checker.Report) -> bool:
    accounted = (
        report.complete + report.not_run + report.unknown + report.failed
    )
    return report.is_clean and accounted == report.sent == _REQUESTS


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
