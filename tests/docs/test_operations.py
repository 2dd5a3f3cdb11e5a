"""Checks the operators' page against the program."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
SOURCES = ''.join(
    path.read_text()
    for folder in ('gateway', 'cli')
    for path in (ROOT / 'walnutport' / folder).glob('*.py')
)


def test_every_event_is_on_the_page():
    """Guards against log lines that nobody can look up."""
    events = set(re.findall(r"\.(?:notable|routine)\(\s*'([a-z_]+)'", SOURCES))
    events |= set(
        re.findall(r"'((?:repeat|fit|unfit)[a-z_]*)' (?:if|else)", SOURCES)
    )
    events |= {'finished', 'target_gone', 'target_restarted', 'log_dropped'}
    missing = {
        event for event in events - {'target_'} if f'`{event}`' not in PAGE
    }
    assert not missing


def test_every_metric_is_in_the_program():
    """Guards against metrics that were renamed."""
    for name in set(re.findall(r'`walnutport_([a-z_]+)', PAGE)):
        assert name in SOURCES, name
