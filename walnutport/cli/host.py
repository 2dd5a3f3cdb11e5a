"""Run an entry host until SIGTERM or SIGINT.

walnutport host --settings=FILE
walnutport host --print_defaults

The first signal starts a graceful stop: readiness goes false, calls in
flight are finished, then the process exits with 0. A second signal, or the
drain limit, ends the process at once with exit code 1.

Exit codes:
  0  stopped gracefully, or the defaults were printed
  1  failed to start, the drain limit was reached, or a second signal came
  2  wrong use of the command
  3  the settings are invalid
"""

import logging
import os
import signal
import sys

from absl import flags
from pythonjsonlogger import json as json_logging
from twisted.internet import defer
from twisted.internet import reactor

from walnutport.cli import exit_codes
from walnutport.config import settings as config
from walnutport import exceptions
from walnutport.service import host

__all__ = ['run']

LOG = logging.getLogger(__name__)
PREFIX = 'host:'

_SETTINGS = flags.DEFINE_string('settings', None, 'path of the settings file')
_PRINT_DEFAULTS = flags.DEFINE_bool(
    'print_defaults', False, 'print the default settings and exit'
)


def run(argv: list[str]) -> int:
    """Run the subcommand and return its exit code."""
    if _PRINT_DEFAULTS.value:
        sys.stdout.write(config.dump_settings(config.default_settings()))
        sys.stdout.write('\n')
        return exit_codes.OK
    if not _SETTINGS.value:
        sys.stderr.write('--settings is required\n')
        return exit_codes.USAGE
    try:
        settings = config.load_settings(_SETTINGS.value)
    except exceptions.SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return exit_codes.INVALID
    configure_logging(settings.control)
    return _serve(settings)


def configure_logging(settings: config.ControlSettings) -> None:
    """Write log lines to standard error in the configured format."""
    handler = logging.StreamHandler(sys.stderr)
    if settings.log_format == 'json':
        handler.setFormatter(
            json_logging.JsonFormatter(
                '%(asctime)s %(levelname)s %(name)s %(message)s'
            )
        )
    else:
        handler.setFormatter(
            logging.Formatter('%(asctime)s %(levelname)s %(message)s')
        )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.log_level)


def _serve(settings: config.HostSettings) -> int:
    entry_host = host.EntryHost(settings, reactor)
    exit_code = exit_codes.OK

    def finished(drained: bool) -> None:
        nonlocal exit_code
        exit_code = exit_codes.OK if drained else exit_codes.FAILED
        reactor.stop()

    def failed(failure) -> None:
        nonlocal exit_code
        LOG.error('%s %s', PREFIX, failure.getErrorMessage())
        exit_code = exit_codes.FAILED
        reactor.stop()

    def on_signal(signum: int, frame: object) -> None:
        if entry_host.stopping:
            LOG.error('%s second signal: stopping at once', PREFIX)
            logging.shutdown()
            os._exit(exit_codes.FAILED)
        reactor.callFromThread(drain)

    def drain() -> None:
        defer.Deferred.fromCoroutine(entry_host.drain()).addCallbacks(
            finished, failed
        )

    def start() -> None:
        defer.Deferred.fromCoroutine(entry_host.start()).addErrback(failed)
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, on_signal)

    reactor.callWhenRunning(start)
    reactor.run()
    return exit_code
