"""Tests of the command that runs a stand-in."""

import subprocess
import sys

import msgspec

from standins import caller

TIMEOUT_S = 20.0


def test_caller_that_raises_ends_with_an_error(tmp_path):
    """Guards against a test that passes although its load was never sent."""
    settings = caller.CallerSettings(
        # Without a host, the first request raises.
        hosts=(),
        ledger_folder=str(tmp_path),
        loads=(caller.Load('north', 'token', 'answers', 100.0, 1),),
    )
    result = subprocess.run(
        [
            sys.executable,
            '-m',
            'standins',
            'caller',
            msgspec.json.encode(settings).decode(),
        ],
        capture_output=True,
        timeout=TIMEOUT_S,
    )
    assert result.returncode == 1
    assert b'Traceback' in result.stderr
