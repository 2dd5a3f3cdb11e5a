"""Entry point: chooses the subcommand."""

from collections.abc import Callable
from collections.abc import Sequence
import importlib
import sys

from absl import app

from walnutport.cli import exit_codes

__all__ = ['COMMANDS', 'main']

COMMANDS = {
    'host': 'run an entry host',
    'status': "show a host's own view",
    'report': 'report latency and cost over hosts',
    'catalogue': 'read and edit the catalogue',
    'check': 'check settings and catalogue files',
}

_USAGE = 'usage: walnutport COMMAND [flags]\n\ncommands:\n'


def main(argv: Sequence[str] | None = None) -> None:
    """Run the program with the process arguments."""
    arguments = list(sys.argv if argv is None else argv)
    if len(arguments) < 2 or arguments[1] in ('-h', '--help', 'help'):
        sys.stdout.write(usage())
        sys.exit(exit_codes.OK if len(arguments) > 1 else exit_codes.USAGE)
    name = arguments[1]
    if name not in COMMANDS:
        sys.stderr.write(f'unknown command {name!r}\n{usage()}')
        sys.exit(exit_codes.USAGE)
    module = importlib.import_module(f'walnutport.cli.{name}')
    run: Callable[[list[str]], int] = module.run
    # absl prints the docstring of the main module as the help text.
    sys.modules['__main__'].__doc__ = module.__doc__
    app.run(run, argv=[f'walnutport {name}', *arguments[2:]])


def usage() -> str:
    """Return the list of commands."""
    lines = [f'  {name:<10} {text}\n' for name, text in COMMANDS.items()]
    return _USAGE + ''.join(lines) + '\nwalnutport COMMAND --help\n'
