"""Reads the tests that KNOWN-RED.txt lists as failing.

An entry begins with ``* `` and the id of the test. Such a test has to fail:
once it passes, the run fails until the entry is removed.
"""

import pathlib
import re

__all__ = ['ROOT', 'listed_tests']

ROOT = pathlib.Path(__file__).parent.parent
_ENTRY = re.compile(r'^\* (tests/\S+::\S+)', re.MULTILINE)


def listed_tests(text: str) -> list[str]:
    """Return the ids of the tests in the text of a list."""
    return _ENTRY.findall(text)
