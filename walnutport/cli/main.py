"""Entry point of the command line; dispatches to the subcommands."""

from collections.abc import Callable
from collections.abc import Sequence
import importlib
import sys
import types

from absl import app
from absl import flags

from walnutport.cli import exit_codes

__all__ = ['COMMANDS', 'help_text', 'main', 'usage']

COMMANDS = {
    'host': 'run an entry host',
    'entry': "run an entry host on an installation's platform",
    'explain': 'print the history of a request from decision logs',
    'status': "show a host's own view",
    'report': 'report latency and cost over hosts',
    'catalogue': 'read and edit the catalogue',
    'check': 'check settings and catalogue files',
}

_HELP_FLAGS = {'-h', '-help', '--help'}
_USAGE_HEADER = 'usage: walnutport COMMAND [flags]\n\ncommands:\n'
_EXIT_CODES = (
    (exit_codes.OK, 'done'),
    (exit_codes.FAILED, 'failed for another reason'),
    (exit_codes.USAGE, 'wrong use of the command'),
    (exit_codes.INVALID, 'settings or a definition are invalid'),
    (exit_codes.CONFLICT, 'the catalogue entry has another version'),
    (exit_codes.UNAVAILABLE, 'a host or the log service does not answer'),
)


def main(argv: Sequence[str] | None = None) -> None:
    """Run the subcommand that the arguments name.

    :param argv: program name and arguments; those of the process if None.
    """
    arguments = list(sys.argv if argv is None else argv)
    if len(arguments) < 2:
        sys.stderr.write(usage())
        sys.exit(exit_codes.USAGE)
    if arguments[1] in {*_HELP_FLAGS, 'help'}:
        sys.stdout.write(usage())
        sys.exit(exit_codes.OK)
    name = arguments[1]
    if name not in COMMANDS:
        sys.stderr.write(f'unknown command {name!r}\n{usage()}')
        sys.exit(exit_codes.USAGE)
    module = importlib.import_module(f'walnutport.cli.{name}')
    if _HELP_FLAGS & set(arguments[2:]):
        sys.stdout.write(help_text(module))
        sys.exit(exit_codes.OK)
    run: Callable[[list[str]], int] = module.run
    try:
        # absl itself would exit with 1, which means another failure here.
        remaining = flags.FLAGS([f'walnutport {name}', *arguments[2:]])
    except flags.Error as error:
        sys.stderr.write(f'{error}\nwalnutport {name} --help\n')
        sys.exit(exit_codes.USAGE)
    app.run(run, argv=remaining, flags_parser=lambda parsed: parsed)


def help_text(module: types.ModuleType) -> str:
    """Return the description and the flags of a subcommand."""
    module_flags = flags.FLAGS.get_flags_for_module(module.__name__)
    lines = [
        f'  --{flag.name}: {flag.help} (default {flag.default})\n'
        for flag in module_flags
    ]
    text = f'{(module.__doc__ or "").rstrip()}\n'
    return f'{text}\nFlags:\n{"".join(lines)}' if lines else text


def usage() -> str:
    """Return the lists of commands and exit codes."""
    commands = [f'  {name:<10} {text}\n' for name, text in COMMANDS.items()]
    codes = [f'  {code}  {text}\n' for code, text in _EXIT_CODES]
    return (
        f'{_USAGE_HEADER}{"".join(commands)}\nexit codes:\n{"".join(codes)}\n'
        'walnutport COMMAND --help shows flags and exit codes of a command\n'
    )
