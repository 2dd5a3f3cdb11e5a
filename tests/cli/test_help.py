"""Tests of the help texts and exit codes of the command line."""

import re
import subprocess
import sys

from absl import flags
import pytest

from walnutport.cli import exit_codes
from walnutport.cli import main

_CODES = {name: getattr(exit_codes, name) for name in exit_codes.__all__}
_DOCUMENTED_CODES_BY_COMMAND = {
    '': {0, 1, 2, 3, 4, 5},
    'host': {0, 1, 2, 3},
    'entry': {0, 1, 2, 3},
    'explain': {0, 1, 2},
    'status': {0, 1, 2, 5},
    'report': {0, 2, 5},
    'catalogue': {0, 1, 2, 3, 4, 5},
    'check': {0, 2, 3},
}


def _run(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, '-m', 'walnutport', *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.mark.parametrize('command', ['', *main.COMMANDS])
def test_help_lists_flags_and_exit_codes(command: str) -> None:
    """Guards against flags and exit codes that the help text omits."""
    done = _run(*filter(None, [command]), '--help')
    assert (done.returncode, done.stderr) == (exit_codes.OK, '')
    listed = re.findall(r'^  (\d)  \S', done.stdout, re.M)
    assert {int(code) for code in listed} == (
        _DOCUMENTED_CODES_BY_COMMAND[command]
    )
    assert set(_CODES.values()) >= {int(code) for code in listed}
    if not command:
        assert all(name in done.stdout for name in main.COMMANDS)
        return
    __import__(f'walnutport.cli.{command}')
    module = sys.modules[f'walnutport.cli.{command}']
    for flag in flags.FLAGS.get_flags_for_module(module.__name__):
        assert f'--{flag.name}: {flag.help}' in done.stdout
    assert f'walnutport {command}' in done.stdout


@pytest.mark.parametrize(
    ('arguments', 'code'),
    [
        ((), exit_codes.USAGE),
        (('nonsense',), exit_codes.USAGE),
        (('host',), exit_codes.USAGE),
        (('host', '--nonsense'), exit_codes.USAGE),
        (('host', '--print_defaults'), exit_codes.OK),
        (('host', '--settings=/nonexistent'), exit_codes.INVALID),
        (('status', 'x'), exit_codes.USAGE),
        (('status', '--host=127.0.0.1:1'), exit_codes.UNAVAILABLE),
        (('report', '--log=127.0.0.1:1'), exit_codes.UNAVAILABLE),
        (('catalogue', 'put', 'contract', 'x'), exit_codes.USAGE),
        (('catalogue', 'list', '--log=127.0.0.1:1'), exit_codes.UNAVAILABLE),
        (('check',), exit_codes.USAGE),
        (('check', '/nonexistent'), exit_codes.INVALID),
    ],
)
def test_exit_code(arguments: tuple[str, ...], code: int) -> None:
    """Guards against a usage error that a script takes for success."""
    done = _run(*arguments)
    assert done.returncode == code, done.stderr
    assert bool(done.stderr) == (code != exit_codes.OK)
