"""Check docs/OPERATIONS.md against the entry host and its commands."""

import ast
import pathlib
import re
import subprocess
import sys
import textwrap

from tools import events_table
from walnutport.gateway.operations import events
from walnutport.membership import registry

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
SOURCES = ''.join(
    path.read_text()
    for folder in ('gateway', 'cli')
    for path in (ROOT / 'walnutport' / folder).rglob('*.py')
)


def _event_names(node: ast.expr) -> list[str]:
    """Return the event names that an argument expression can evaluate to."""
    if isinstance(node, ast.Constant):
        return [str(node.value)]
    if isinstance(node, ast.IfExp):
        return _event_names(node.body) + _event_names(node.orelse)
    if isinstance(node, ast.BinOp):
        assert ast.literal_eval(node.left) == 'target_'
        return ['target_' + change for change in registry.CHANGE_KINDS]
    raise AssertionError(
        f'line {node.lineno}: cannot determine the event name'
    )


def _log_calls() -> list[tuple[str, set[str], bool]]:
    """Return the name and fields of each log call in the gateway.

    :returns: triples of name, fields, and whether the call may add more fields
        with ``**``.
    """
    calls = []
    for path in sorted((ROOT / 'walnutport' / 'gateway').rglob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            name = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
            is_log_call = name in ('notable', 'routine', 'write')
            if not is_log_call or not any(item.arg for item in node.keywords):
                continue
            fields = {item.arg for item in node.keywords if item.arg}
            has_more = any(item.arg is None for item in node.keywords)
            calls += [
                (event_name, fields, has_more)
                for event_name in _event_names(node.args[0])
            ]
    return calls


def test_every_logged_event_matches_its_declaration():
    """Guards against log lines that are not declared or documented."""
    fields_by_event = {}
    for name, fields, has_more in _log_calls():
        event = events.EVENT_BY_NAME[name]
        assert fields <= {*event.fields, *event.optional}, name
        assert has_more or fields >= set(event.fields), name
        fields_by_event[name] = fields
    # These have no fields or are written by the log itself.
    fields_by_event |= dict.fromkeys(('reloaded', 'log_dropped'))
    assert fields_by_event.keys() == events.EVENT_BY_NAME.keys()


def test_the_page_lists_the_declared_events():
    """Guards against a documented list that was not regenerated."""
    assert events_table.replace_table(PAGE) == PAGE


def test_undeclared_events_are_reported():
    """Guards against a schema check that accepts any line."""
    good = {'time': 1.0, 'host': 'h', 'event': 'peer_lost', 'peer': 'a'}
    assert not events.schema_violations(good)
    assert events.schema_violations({**good, 'event': 'peer_left'})
    assert events.schema_violations({**good, 'extra': 1})
    assert events.schema_violations({'event': 'peer_lost'})


def test_every_documented_metric_exists():
    """Guards against documented metrics that were renamed."""
    # The second part of the page contains the table of metrics.families, which
    # tests/docs/test_operators.py checks.
    first_part = PAGE.split("## Hosts of the project's own interface")[0]
    for name in set(re.findall(r'`walnutport_([a-z_]+)', first_part)):
        assert name in SOURCES, name


def test_documented_commands_print_the_documented_output():
    """Guards against documented commands whose output has changed.

    The log contains the lines of three failed requests of a simulated day.
    """
    blocks = re.findall(
        r'^    \$ walnutport explain (\w+) < day\.log\n((?:    .+\n)+)',
        PAGE,
        re.M,
    )
    assert len(blocks) == 3
    log = (ROOT / 'tests' / 'docs' / 'day.log').read_text()
    for request_id, expected_output in blocks:
        completed = subprocess.run(
            [sys.executable, '-m', 'walnutport', 'explain', request_id],
            input=log,
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
        )
        assert completed.returncode == 0
        assert textwrap.dedent(expected_output) == textwrap.dedent(
            completed.stdout
        )
