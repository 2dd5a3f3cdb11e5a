"""Checks the operators' page against the program."""

import ast
import pathlib
import re
import subprocess
import sys
import textwrap

from tools import events_table
from walnutport.gateway import events
from walnutport.membership import registry

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
SOURCES = ''.join(
    path.read_text()
    for folder in ('gateway', 'cli')
    for path in (ROOT / 'walnutport' / folder).glob('*.py')
)


def _names(node: ast.expr) -> list[str]:
    """Return the names that the first argument of a call can have."""
    if isinstance(node, ast.Constant):
        return [str(node.value)]
    if isinstance(node, ast.IfExp):
        return _names(node.body) + _names(node.orelse)
    if isinstance(node, ast.BinOp):
        assert ast.literal_eval(node.left) == 'target_'
        return ['target_' + change for change in registry.CHANGE_KINDS]
    raise AssertionError(f'line {node.lineno}: name cannot be found out')


def _logged() -> list[tuple[str, set[str], bool]]:
    """Return name and fields of each line that the program writes.

    :returns: with each, whether more fields may come with ``**``.
    """
    found = []
    for path in sorted((ROOT / 'walnutport' / 'gateway').glob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            name = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
            logs = name in ('notable', 'routine', 'write')
            if not logs or not any(item.arg for item in node.keywords):
                continue
            fields = {item.arg for item in node.keywords if item.arg}
            more = any(item.arg is None for item in node.keywords)
            found += [(each, fields, more) for each in _names(node.args[0])]
    return found


def test_every_line_is_written_as_it_is_declared():
    """Guards against log lines that nobody can look up."""
    written = {}
    for name, fields, more in _logged():
        event = events.EVENT_BY_NAME[name]
        assert fields <= {*event.fields, *event.optional}, name
        assert more or fields >= set(event.fields), name
        written[name] = fields
    # These have no field or are written by the log itself.
    written |= dict.fromkeys(('reloaded', 'log_dropped'))
    assert written.keys() == events.EVENT_BY_NAME.keys()


def test_the_page_lists_the_declared_lines():
    """Guards against a list that was not written anew."""
    assert events_table.replace_table(PAGE) == PAGE


def test_undeclared_lines_are_found():
    """Guards against a check of played logs that accepts anything."""
    good = {'time': 1.0, 'host': 'h', 'event': 'peer_lost', 'peer': 'a'}
    assert not events.schema_violations(good)
    assert events.schema_violations({**good, 'event': 'peer_left'})
    assert events.schema_violations({**good, 'extra': 1})
    assert events.schema_violations({'event': 'peer_lost'})


def test_every_metric_is_in_the_program():
    """Guards against metrics that were renamed."""
    # The second part of the page has the table of metrics.families, which
    # tests/docs/test_operators.py compares.
    part = PAGE.split("## Hosts of the project's own interface")[0]
    for name in set(re.findall(r'`walnutport_([a-z_]+)', part)):
        assert name in SOURCES, name


def test_the_shown_commands_print_what_the_page_shows():
    """Guards against a page whose commands do something else.

    The log has the lines of three failed requests of a played day.
    """
    blocks = re.findall(
        r'^    \$ walnutport explain (\w+) < day\.log\n((?:    .+\n)+)',
        PAGE,
        re.M,
    )
    assert len(blocks) == 3
    log = (ROOT / 'tests' / 'docs' / 'day.log').read_text()
    for request_id, shown in blocks:
        done = subprocess.run(
            [sys.executable, '-m', 'walnutport', 'explain', request_id],
            input=log,
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
        )
        assert done.returncode == 0
        assert textwrap.dedent(shown) == textwrap.dedent(done.stdout)
