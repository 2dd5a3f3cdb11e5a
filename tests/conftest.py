"""Hypothesis profiles, and the tests that are known to fail.

The profiles have fixed seeds in CI and random seeds in soak runs.
"""

import os

import hypothesis
from hypothesis.internal.conjecture import providers
import pytest

from tests import known_red

_KNOWN_RED = known_red.listed_tests(
    (known_red.ROOT / 'KNOWN-RED.txt').read_text()
)

# Hypothesis also draws constants that it finds in the loaded modules of the
# project. The inputs of a seed would then change whenever a module is added or
# a test runs alone.
providers._get_local_constants = lambda: providers._local_constants

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    'soak',
    parent=hypothesis.settings.get_profile('ci'),
    derandomize=False,
    print_blob=True,
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


def pytest_collection_modifyitems(items) -> None:
    """Expect the tests of KNOWN-RED.txt to fail."""
    for item in items:
        if item.nodeid in _KNOWN_RED:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=True)
            )


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the tests of KNOWN-RED.txt."""
    for test_id in _KNOWN_RED:
        terminalreporter.write_line(f'known red: {test_id}')
