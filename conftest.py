"""Expects the tests of KNOWN-RED.txt to fail, and prints them."""

import pytest

from tests import known_red

_KNOWN_RED = known_red.listed_tests(
    (known_red.ROOT / 'KNOWN-RED.txt').read_text()
)


def pytest_collection_modifyitems(items) -> None:
    """Expect the listed tests to fail."""
    for item in items:
        if item.nodeid in _KNOWN_RED:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=True)
            )


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the listed tests."""
    for test_id in _KNOWN_RED:
        terminalreporter.write_line(f'known red: {test_id}')
