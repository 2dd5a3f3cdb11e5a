"""Tests that only the platform adapter uses the platform's names."""

import pathlib
import re

import pytest

import walnutport
from walnutport.platform import wire

ROOT = pathlib.Path(walnutport.__file__).parent
PLATFORM = ROOT / 'platform'

# A header of the project's own interface with the same name and meaning;
# it is older than the platform.
SHARED_NAMES = {'walnutport-deadline-ms'}
# Field names of the platform's documents and of its settings file.
PLATFORM_FIELDS = re.compile(
    r"""['"](
        latencyTargetMs|pathPrefix|maxAttempts|timeoutMs|apiKeys|itemMs|callMs
        |headroomMb|handleS|kvTokens|maxConns|nodeName|portRange|heartbeatMs
        |coldS|coldPerS|coldMs|bounds\.cold(Over|Slack)
        |listen\.\w+|platform\.address|zones\.\w*|retryBudgetRatio
    )['"]""",
    re.VERBOSE,
)


def wire_names() -> set[str]:
    """Return the header, path and topic names of the platform."""
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
        if name.startswith(
            (
                'walnutport-',
                '/stage',
                '/log-',
                'keyed.',
                'kv-',
                'evacuate/',
            )
        )
    } - SHARED_NAMES


def outside_modules() -> list[pathlib.Path]:
    """Return the modules outside the platform adapter."""
    return [
        path
        for path in sorted(ROOT.rglob('*.py'))
        if PLATFORM not in path.parents
    ]


@pytest.mark.parametrize(
    'path', outside_modules(), ids=lambda path: str(path.relative_to(ROOT))
)
def test_platform_names_occur_only_in_the_adapter(path):
    """Guards against logic that depends on the platform's wire format."""
    text = path.read_text().lower()
    used = {name for name in wire_names() if f"'{name}'" in text}
    used |= {name for name in wire_names() if f"b'{name}'" in text}
    # Prefixes of keys, which a name follows.
    used |= {
        name
        for name in wire_names()
        if name.endswith('/') and f"'{name}" in text
    }
    assert not used
    assert not PLATFORM_FIELDS.search(path.read_text())


def test_the_boundary_check_has_names_to_find():
    """Guards against a check that passes because its set of names is empty."""
    names = wire_names()
    assert 'walnutport-response-seal' in names and 'keyed.servers' in names
    assert 'evacuate/' in names
    settings = (PLATFORM / 'settings.py').read_text()
    assert PLATFORM_FIELDS.search(settings)
