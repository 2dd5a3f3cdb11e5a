"""Tests of the boundary between the platform and the rest."""

import pathlib
import re

import pytest

import walnutport
from walnutport.platform import wire

ROOT = pathlib.Path(walnutport.__file__).parent
PLATFORM = ROOT / 'platform'

# The project's own interface has a header of this name and meaning, which
# predates the platform.
OWN_NAMES = {'walnutport-deadline-ms'}
# Fields of the platform's documents and of its settings file.
FIELDS = re.compile(
    r"""['"](
        latencyTargetMs|pathPrefix|maxAttempts|timeoutMs|apiKeys|itemMs|callMs
        |headroomMb|handleS|kvTokens|maxConns|nodeName|portRange|heartbeatMs
        |listen\.\w+|platform\.address|zones\.\w*|retryBudgetRatio
    )['"]""",
    re.VERBOSE,
)


def wire_names() -> set[str]:
    """Return the headers, paths and topics that are the platform's own."""
    found: set[str] = set()
    for value in vars(wire).values():
        if isinstance(value, frozenset):
            found.update(name.decode() for name in value)
        elif isinstance(value, bytes):
            found.add(value.decode())
        elif isinstance(value, str):
            found.add(value)
    return {
        name
        for name in found
        if name.startswith(('walnutport-', '/stage', '/log-', 'keyed.', 'kv-'))
    } - OWN_NAMES


def outside_modules() -> list[pathlib.Path]:
    """Return the modules that must not know the platform's names."""
    return [
        path
        for path in sorted(ROOT.rglob('*.py'))
        if PLATFORM not in path.parents
    ]


@pytest.mark.parametrize(
    'path', outside_modules(), ids=lambda path: str(path.relative_to(ROOT))
)
def test_names_of_the_platform_stay_in_its_folder(path):
    """Guards against decisions that depend on names of the wire."""
    text = path.read_text().lower()
    used = {name for name in wire_names() if f"'{name}'" in text}
    used |= {name for name in wire_names() if f"b'{name}'" in text}
    assert not used
    assert not FIELDS.search(path.read_text())


def test_the_check_sees_the_names_it_looks_for():
    """Guards against a check that passes because it looks for nothing."""
    names = wire_names()
    assert 'walnutport-response-seal' in names and 'keyed.servers' in names
    settings = (PLATFORM / 'settings.py').read_text()
    assert FIELDS.search(settings)
