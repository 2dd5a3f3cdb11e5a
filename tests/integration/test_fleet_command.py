"""The fleet that ``make fleet`` starts for a first request."""

import json
import shlex
import signal
import subprocess
import sys
import urllib.request

_LIMIT_S = 60.0


def test_the_printed_request_is_answered() -> None:
    """Guards against a README whose first request fails."""
    with subprocess.Popen(
        [sys.executable, '-m', 'bench.fleet'],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            assert process.stdout is not None
            lines: dict[str, str] = {}
            for line in process.stdout:
                name, _, text = line.strip().partition(': ')
                lines[name] = text
                if line.startswith('Ctrl-C'):
                    break
            command = shlex.split(lines['request'])
            assert command[0] == 'curl'
            header = command[command.index('-H') + 1]
            request = urllib.request.Request(
                command[2],
                command[command.index('-d') + 1].encode(),
                dict([header.split(': ')]),
            )
            with urllib.request.urlopen(request, timeout=_LIMIT_S) as reply:
                answer = json.load(reply)
            assert answer['outcome'] == 'complete'
            process.send_signal(signal.SIGINT)
            assert process.wait(_LIMIT_S) == 0
        finally:
            process.kill()
