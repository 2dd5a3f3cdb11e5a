"""Read and edit the catalogue in the log service.

walnutport catalogue list [KIND]            all entries in force
walnutport catalogue show KIND NAME         one entry with its version
walnutport catalogue put KIND NAME          --file, --expected_version
walnutport catalogue delete KIND NAME       --expected_version
walnutport catalogue watch                  changes as they are made
walnutport catalogue history [KIND [NAME]]  changes that the log retains

KIND is contract, member, pipeline or class. --expected_version is the
version of the entry that the operator saw, 0 for an entry that never
existed; the edit is refused if the entry has changed since. An edit is
reported as accepted only after it was read back from the log.

Exit codes:
  0  done; an edit is accepted
  1  failed for another reason, such as an entry that does not exist
  2  wrong use of the command
  3  the definition is invalid; nothing was changed
  4  conflict: the entry has another version, which is printed
  5  the log service is not available; an edit has no effect unless the
     output says that its outcome is unknown: then repeat the same command
     with the printed --change_id, which applies it at most once
"""

import getpass
import json
import pathlib
import secrets
import sys

from absl import flags
from expression import Result
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from walnutport.adapters import http_client
from walnutport.adapters import log_service
from walnutport.catalogue import editor
from walnutport.catalogue import fold
from walnutport.catalogue import records
from walnutport.cli import exit_codes
from walnutport import clock
from walnutport import exceptions
from walnutport import interfaces
from walnutport import world

__all__ = ['run']

_LOG = flags.DEFINE_string(
    'log', '127.0.0.1:9000', 'address of the log service', allow_override=True
)
_FILE = flags.DEFINE_string(
    'file', '-', 'file with the definition; - is stdin'
)
_EXPECTED_VERSION = flags.DEFINE_integer(
    'expected_version', None, 'version that the edit replaces', lower_bound=0
)
_OPERATOR = flags.DEFINE_string('operator', '', 'name kept with the edit')
_CHANGE_ID = flags.DEFINE_string(
    'change_id', '', 'id of an edit whose outcome is unknown'
)
_JSON = flags.DEFINE_bool(
    'json', False, 'print JSON, one object a line', allow_override=True
)
_TIMEOUT_S = flags.DEFINE_float(
    'timeout_s', 5.0, 'longest wait for the log service', lower_bound=0.1
)
_COUNT = flags.DEFINE_integer(
    'count', 0, 'number of changes after which watch ends; 0 for no end'
)

_WATCH_WAIT_S = 5.0
_RETRY_DELAY_S = 0.5


class _Command:
    """Actions of the subcommand on the catalogue of one log service."""

    def __init__(self, address: world.Address) -> None:
        service = log_service.HttpLogService(
            http_client.TimeoutClient(
                http_client.HttpClient(reactor),
                address,
                reactor,
                _TIMEOUT_S.value,
            )
        )
        self._editor = editor.CatalogueEditor(
            service,
            clock.SystemClock(),
            _TIMEOUT_S.value,
            lambda wait_s: task.deferLater(reactor, wait_s),
        )

    async def list_entries(self, arguments: list[str]) -> int:
        """Print the entries in force."""
        if not _succeeded(await self._editor.read()):
            return exit_codes.UNAVAILABLE
        for entry in self._editor.follower.fold.entries():
            if not entry.is_tombstone and entry.kind in (
                arguments or list(records.EntryKind)
            ):
                _print_fields(
                    {
                        'kind': entry.kind,
                        'name': entry.name,
                        'version': entry.version,
                        'operator': entry.operator,
                    }
                )
        return exit_codes.OK

    async def show(self, arguments: list[str]) -> int:
        """Print one entry with its definition."""
        if not _succeeded(await self._editor.read()):
            return exit_codes.UNAVAILABLE
        kind, name = records.EntryKind(arguments[0]), arguments[1]
        entry = self._editor.follower.fold.entry(kind, name)
        if entry is None:
            sys.stderr.write(f'no {kind} {name!r}; expected_version is 0\n')
            return exit_codes.FAILED
        _print_fields(_describe_entry(entry))
        return exit_codes.FAILED if entry.is_tombstone else exit_codes.OK

    async def put(self, arguments: list[str]) -> int:
        """Write an entry."""
        kind, name = records.EntryKind(arguments[0]), arguments[1]
        try:
            body = _read_body()
            editor.check_definition(kind, name, body)
        except (OSError, ValueError, RecursionError) as error:
            sys.stderr.write(f'{_FILE.value}: {error}\n')
            return exit_codes.INVALID
        except exceptions.CatalogueError as error:
            sys.stderr.write(f'{error}\n')
            return exit_codes.INVALID
        return await self._edit(kind, name, body)

    async def delete(self, arguments: list[str]) -> int:
        """Delete an entry; its version numbers continue."""
        kind, name = records.EntryKind(arguments[0]), arguments[1]
        return await self._edit(kind, name, '')

    async def history(self, arguments: list[str]) -> int:
        """Print the changes that the log retains, oldest first."""
        found: list[dict] = []
        self._editor.on_result = lambda record, change, result: found.append(
            _describe_change(record, change, result)
        )
        if not _succeeded(await self._editor.read()):
            return exit_codes.UNAVAILABLE
        for item in found:
            if [item['kind'], item['name']][: len(arguments)] == arguments:
                _print_fields(item)
        return exit_codes.OK

    async def watch(self, arguments: list[str]) -> int:
        """Print changes as they are made; retry while the log is down."""
        if not _succeeded(await self._editor.read()):
            return exit_codes.UNAVAILABLE
        printed = 0

        def show(record, change, result) -> None:
            nonlocal printed
            printed += 1
            _print_fields(_describe_change(record, change, result))

        self._editor.on_result = show
        while not _COUNT.value or printed < _COUNT.value:
            if not _succeeded(await self._editor.read(_WATCH_WAIT_S)):
                await task.deferLater(reactor, _RETRY_DELAY_S)
        return exit_codes.OK

    async def _edit(
        self, kind: records.EntryKind, name: str, body: str
    ) -> int:
        change = records.ChangeRecord(
            _CHANGE_ID.value or secrets.token_hex(8),
            kind,
            name,
            _EXPECTED_VERSION.value,
            _OPERATOR.value or getpass.getuser(),
            body,
        )
        result = await self._editor.edit(change)
        if result.is_error():
            return _report_error(result.error, change)
        outcome = result.ok
        _print_fields(
            {
                'status': outcome.status,
                'change_id': outcome.change_id,
                'version': outcome.version,
            }
            | ({'reason': outcome.reason} if outcome.reason else {})
        )
        return _CODE_BY_STATUS[outcome.status]


_CODE_BY_STATUS = {
    editor.EditStatus.ACCEPTED: exit_codes.OK,
    editor.EditStatus.CONFLICT: exit_codes.CONFLICT,
    editor.EditStatus.INVALID: exit_codes.INVALID,
}
# Method and minimum and maximum number of arguments of each action.
_ACTIONS = {
    'list': (_Command.list_entries, 0, 1),
    'show': (_Command.show, 2, 2),
    'put': (_Command.put, 2, 2),
    'delete': (_Command.delete, 2, 2),
    'watch': (_Command.watch, 0, 0),
    'history': (_Command.history, 0, 2),
}


def run(argv: list[str]) -> int:
    """Run the subcommand and return its exit code."""
    usage_error = _usage_error(argv[1:])
    if usage_error:
        sys.stderr.write(f'{usage_error}\n')
        return exit_codes.USAGE
    ip, _, port = _LOG.value.rpartition(':')
    command = _Command(world.Address(ip, int(port)))
    action = _ACTIONS[argv[1]][0]
    return _run_to_end(action(command, argv[2:]))


def _usage_error(arguments: list[str]) -> str:
    """Return the error in the arguments, or an empty string."""
    if not arguments or arguments[0] not in _ACTIONS:
        return f'the action must be one of {", ".join(_ACTIONS)}; see --help'
    name, rest = arguments[0], arguments[1:]
    _, min_count, max_count = _ACTIONS[name]
    if not min_count <= len(rest) <= max_count:
        return f'{name} takes {min_count} to {max_count} arguments; see --help'
    if rest and rest[0] not in list(records.EntryKind):
        return f'KIND must be one of {", ".join(records.EntryKind)}'
    if name in ('put', 'delete') and _EXPECTED_VERSION.value is None:
        return f'{name} needs --expected_version; see --help'
    ip, _, port = _LOG.value.rpartition(':')
    if not ip or not port.isdecimal():
        return '--log must be an address ip:port'
    return ''


def _run_to_end(coroutine) -> int:
    """Run a coroutine in the reactor and return its result."""
    codes: list[int] = []

    def failed(failure) -> None:
        sys.stderr.write(f'{failure.getTraceback()}\n')
        codes.append(exit_codes.FAILED)

    def start() -> None:
        pending = defer.Deferred.fromCoroutine(coroutine)
        pending.addCallbacks(codes.append, failed)
        pending.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    # Without an exit code, the reactor was stopped by a signal.
    return codes[0] if codes else exit_codes.FAILED


def _succeeded(result: Result) -> bool:
    """Return whether a read succeeded; print its error if not."""
    if result.is_error():
        sys.stderr.write(f'log service: {result.error}\n')
    return result.is_ok()


def _report_error(
    error: exceptions.LogServiceError, change: records.ChangeRecord
) -> int:
    if isinstance(error, exceptions.AppendAmbiguous):
        sys.stderr.write(
            f'outcome unknown: {error}\n'
            f'repeat with --change_id={change.change_id}\n'
        )
    else:
        sys.stderr.write(f'no effect; log service: {error}\n')
    return exit_codes.UNAVAILABLE


def _read_body() -> str:
    if _FILE.value == '-':
        body = sys.stdin.read()
    else:
        body = pathlib.Path(_FILE.value).read_text()
    # An empty body would delete the entry.
    return json.dumps(json.loads(body))


def _describe_entry(entry: fold.Entry) -> dict:
    return {
        'kind': entry.kind,
        'name': entry.name,
        'version': entry.version,
        'operator': entry.operator,
        'change_id': entry.change_id,
        'deleted': entry.is_tombstone,
        'body': json.loads(entry.body) if entry.body else None,
    }


def _describe_change(
    record: interfaces.LogRecord,
    change: records.ChangeRecord,
    result: fold.FoldResult,
) -> dict:
    return {
        'offset': record.offset,
        'time_ms': record.time_ms,
        'kind': change.kind,
        'name': change.name,
        'action': 'delete' if change.is_deletion else 'put',
        'operator': change.operator,
        'change_id': change.change_id,
        'expected_version': change.expected_version,
        'accepted': result.accepted,
        'version': result.version,
        'reason': result.reason,
    }


def _print_fields(fields: dict) -> None:
    if _JSON.value:
        text = json.dumps(fields)
    else:
        text = ' '.join(
            f'{key}={json.dumps(value) if key == "body" else value}'
            for key, value in fields.items()
        )
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
