"""Tests of the modules that an entry host on a platform imports."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
# Libraries that only the project's own HTTP interface and the plots need. Each
# one that is imported costs memory on every host.
UNWANTED = ('klein', 'leather', 'pydantic', 'pynng', 'treq', 'twisted.web')
# Twisted imports these wherever they are installed, so the platform installs
# only what the entry host needs.
TLS = ('OpenSSL', 'cryptography', 'service_identity')


def loaded_modules() -> set[str]:
    """Return the modules that the entry host imports without TLS libraries."""
    code = (
        'import sys;'
        f'sys.modules.update(dict.fromkeys({TLS!r}));'
        'import walnutport.cli.entry;'
        'print("\\n".join(sorted(sys.modules)))'
    )
    done = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    return set(done.stdout.split())


def test_entry_host_imports_no_unused_library():
    """Guards against unused libraries that take memory on every host."""
    found = [
        name
        for name in loaded_modules()
        if any(
            name == root or name.startswith(f'{root}.') for root in UNWANTED
        )
    ]
    assert found == []


def test_platform_installs_only_the_requirements_of_the_entry_host():
    """Guards against TLS libraries that a web client would bring in."""
    deployed = (ROOT / 'deploy' / 'requirements.txt').read_text().split()
    assert {line.partition('==')[0] for line in deployed} == {
        'Expression',
        'Twisted',
        'absl-py',
        'httptools',
        'msgspec',
    }
    assert set(deployed) <= set(
        (ROOT / 'requirements.txt').read_text().split()
    )
    system = (ROOT / 'deploy' / 'system.toml').read_text()
    assert '-r deploy/requirements.txt' in system


def test_entry_host_imports_only_installed_libraries():
    """Guards against imports of libraries that the platform lacks."""
    deployed = {
        'absl',
        'attr',
        'attrs',
        'automat',
        'constantly',
        # Registered by the Cython extension module of httptools.
        'cython_runtime',
        'expression',
        'httptools',
        'hyperlink',
        'idna',
        'incremental',
        'msgspec',
        'packaging',
        'twisted',
        'typing_extensions',
        'typing_extensions',
        'walnutport',
        'zope',
    }
    roots = {
        name.partition('.')[0]
        for name in loaded_modules()
        if not name.startswith('_')
    }
    third_party = {
        root for root in roots if root not in sys.stdlib_module_names
    }
    assert third_party - deployed - set(TLS) - {'sitecustomize'} == set()
