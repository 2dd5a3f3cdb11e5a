"""Print the history of one request from the decision logs of entry hosts.

walnutport explain ID < LOG

The log may hold the lines of several hosts, in any order and with text before
each line. Lines of later tries that go on with the stream of the request are
shown with their id. The last line names the cause.

Exit codes:
  0  the request was found
  1  no line names the request
  2  wrong use of the command
"""

from collections.abc import Iterable
from collections.abc import Iterator
import sys

import msgspec

from walnutport.cli import exit_codes

__all__ = ['explain', 'run']

# Explanation of each outcome for an engineer on call.
_CAUSE_BY_OUTCOME = {
    'answered': 'a target gave this answer; the host passed it on',
    'streamed': 'the whole stream was passed on',
    'overload': 'refused: its stages could not be done within its aim',
    'deadline': 'refused: it could not be done before its deadline',
    'no_target': 'refused: no target of its service was usable',
    'targets_held_back': (
        'refused: all its targets asked for time or state limits used up'
    ),
    'targets_cold': (
        'refused: only targets that are cold were left, and no permit to send '
        'to one was due within its aim'
    ),
    'origin_unknown': (
        'refused: no host knows which software version began its stream'
    ),
    'origin_gone': (
        'refused: no target of the version that began its stream is left'
    ),
    'quarantined': (
        'refused: it, or a part of its prompt, was running at several targets '
        'that crashed'
    ),
    'evacuated': (
        'refused: the operator evacuates the data centres of all its targets'
    ),
    'cut_off': 'refused: neither the host nor a peer reached any target',
    'relayed': 'a peer of the host served it, see the lines of that peer',
    'stage_failures': 'given up: too many of its stage pieces failed',
    'owner_unknown': 'no link to the host that runs its stages was up yet',
    'owners_lost': 'given up: hosts that ran its stages were lost',
    'not_run': 'refused: its target refused it and no other one may run it',
    'wrong_target': 'refused: the address belongs to another target now',
    'inputs_gone': 'refused: results of its stages were gone',
    'not_sent': 'refused: no target could be connected',
    'lost': 'failed: a target may have run it and gave no whole answer',
    'timeout': 'failed: a target had it and did not answer in time',
    'broken': 'cut: its stream broke off and no other target may resume it',
    'stopping': (
        'refused: it could not be done before its host ended, which had got '
        'the signal to stop'
    ),
    'cut_at_stop': (
        'cut: its host ended, see how long after the signal to stop it came'
    ),
    'cut_at_deadline': 'cut: its stream was not over at its deadline',
    'caller_left': 'the caller closed the channel before the answer',
    'error': 'failed: an error of the host, see its trace',
}
_HIDDEN_FIELDS = ('time', 'host', 'event', 'id', 'ids')


def run(argv: list[str]) -> int:
    """Run the subcommand and return its exit code."""
    if len(argv) != 2:
        sys.stderr.write('usage: walnutport explain ID < LOG\n')
        return exit_codes.USAGE
    lines = explain(argv[1], sys.stdin)
    if not lines:
        sys.stderr.write(f'no line names the request {argv[1]}\n')
        return exit_codes.FAILED
    sys.stdout.write('\n'.join(lines) + '\n')
    return exit_codes.OK


def explain(request_id: str, log: Iterable[str]) -> list[str]:
    """Return the history of a request, ending in its cause.

    :param log: lines of the decision logs.
    """
    records = sorted(
        (
            record
            for record in _parse_records(log)
            if _mentions(record, request_id)
            or record.get('begun_by') == request_id
        ),
        key=lambda record: _number(record, 'time'),
    )
    if not records:
        return []
    start = _number(records[0], 'time')
    lines = [_format_record(record, start, request_id) for record in records]
    own = [record for record in records if _mentions(record, request_id)]
    lines.append(f'cause: {_cause(own)}')
    return lines


def _parse_records(log: Iterable[str]) -> Iterator[dict]:
    for line in log:
        position = line.find('{"time"')
        if position < 0:
            continue
        try:
            yield msgspec.json.decode(line[position:].strip(), type=dict)
        except msgspec.DecodeError:
            # A truncated line cannot be decoded and is ignored.
            continue


def _mentions(record: dict, request_id: str) -> bool:
    return record.get('id') == request_id or request_id in _texts(
        record, 'ids'
    )


def _number(record: dict, name: str) -> float:
    """Return a field that should be a number; 0 if it is none.

    The log may have lines of other programs or versions.
    """
    value = record.get(name)
    return value if isinstance(value, int | float) else 0.0


def _texts(record: dict, name: str) -> list[str]:
    """Return a field that should be a list of texts; empty if it is none."""
    value = record.get(name)
    return [str(item) for item in value] if isinstance(value, list) else []


def _format_record(record: dict, start: float, request_id: str) -> str:
    is_own = _mentions(record, request_id)
    fields = ' '.join(
        f'{name}={value}'
        for name, value in record.items()
        if name not in _HIDDEN_FIELDS or name == 'id' and not is_own
    )
    after_s = _number(record, 'time') - start
    return (
        f'{after_s:8.3f} s  {record.get("host", "?")}  '
        f'{record.get("event", "?")}  {fields}'
    ).rstrip()


def _cause(records: list[dict]) -> str:
    finished = [
        record for record in records if record.get('event') == 'finished'
    ]
    if not finished:
        rejected = [r for r in records if r.get('event') == 'rejected']
        if rejected:
            return (
                f'rejected with {rejected[0].get("status")}: '
                f'{rejected[0].get("reason")}'
            )
        return 'no end in this log; the host stopped or the line was dropped'
    # A host that relays a request ends it after the peer that serves it.
    served = [
        record for record in finished if record.get('outcome') != 'relayed'
    ]
    finished = served or finished
    outcome = str(finished[-1].get('outcome', ''))
    text = _CAUSE_BY_OUTCOME.get(outcome, f'outcome {outcome or "unknown"}')
    status = _number(finished[-1], 'status')
    if outcome == 'answered' and status >= 500:
        tried = ', '.join(_texts(finished[-1], 'targets'))
        text = f'failed: answered {status} by its last target of {tried}'
    refusals = [
        record
        for record in records
        if record.get('event') == 'refused' and record.get('part')
    ]
    if refusals and outcome == 'quarantined':
        last = refusals[-1]
        text += f' (part {last["part"]}, {last.get("deaths")} crashes)'
    failures = [
        record for record in records if record.get('event') == 'attempt_failed'
    ]
    if failures and outcome not in ('answered', 'streamed'):
        last = failures[-1]
        text += (
            f' (target {last.get("target")}: {last.get("status")} '
            f'{last.get("detail", "")}'.rstrip()
            + ')'
        )
    if finished[-1].get('late') and outcome in ('answered', 'streamed'):
        text += (
            f'; late: first answer after {finished[-1].get("first_s")} s, '
            f'of which stages {finished[-1].get("stages_s")} s'
        )
        if finished[-1].get('returned'):
            text += ', and the caller had come back after a refusal'
    relays = [r for r in records if r.get('event') == 'relayed']
    if relays:
        text += (
            f'; {relays[-1].get("host")} reached no target and sent it to '
            f'{relays[-1].get("peer")}'
        )
    return text
