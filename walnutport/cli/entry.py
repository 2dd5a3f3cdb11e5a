"""Run an entry host on an installation's platform until SIGTERM.

walnutport entry

The platform names the settings file in the environment. SIGTERM starts a
graceful stop, SIGHUP reloads the settings.

Exit codes:
  0  stopped gracefully
  1  failed to start, or answers were still in progress shortly before the kill
  2  wrong use of the command
  3  the settings are invalid
"""

import os
import signal
import sys

from absl import flags
from twisted.internet import reactor

from walnutport.cli import exit_codes
from walnutport import exceptions
from walnutport.gateway import host
from walnutport.platform import settings as platform_settings

__all__ = ['run']

_METRICS_PORT = flags.DEFINE_integer(
    'metrics_port', 0, 'port for metrics; 0 serves none'
)


def run(argv: list[str]) -> int:
    """Run the subcommand and return its exit code."""
    try:
        path = platform_settings.settings_path()
        settings = platform_settings.load_settings(path)
    except exceptions.SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return exit_codes.INVALID
    os.set_blocking(1, False)
    entry_host = host.EntryHost(
        settings,
        reactor,
        lambda: platform_settings.load_settings(path),
        _METRICS_PORT.value,
    )
    exit_code = exit_codes.OK
    is_stopping = False

    def finished(drained: bool) -> None:
        nonlocal exit_code
        exit_code = exit_codes.OK if drained else exit_codes.FAILED
        reactor.stop()

    def start() -> None:
        nonlocal exit_code
        try:
            entry_host.start()
        except (OSError, exceptions.WalnutportError) as error:
            sys.stderr.write(f'cannot start: {error}\n')
            exit_code = exit_codes.FAILED
            reactor.stop()
            return
        signal.signal(signal.SIGTERM, stop)
        signal.signal(signal.SIGINT, stop)
        signal.signal(signal.SIGHUP, reload)

    def drain() -> None:
        nonlocal is_stopping
        if not is_stopping:
            is_stopping = True
            entry_host.drain().addCallback(finished)

    def stop(signum: int, frame: object) -> None:
        reactor.callFromThread(drain)

    def reload(signum: int, frame: object) -> None:
        reactor.callFromThread(entry_host.reload)

    reactor.callWhenRunning(start)
    reactor.run()
    # The finalization of the interpreter takes 0.2 s, and over 1 s on a busy
    # machine, so that the process would still be there at its kill.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(exit_code)
