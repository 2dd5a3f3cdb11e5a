"""What an entry host on a platform loads."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
# Libraries of the project's own interface and of plots. Each costs memory on
# every host.
UNWANTED = ('klein', 'leather', 'pydantic', 'pynng', 'treq', 'twisted.web')
# Twisted loads these wherever they are installed, so the platform installs
# only what the entry host needs.
TLS = ('OpenSSL', 'cryptography', 'service_identity')


def loaded_modules() -> set[str]:
    """Return what the entry host imports where there is no TLS library."""
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


def test_entry_host_loads_no_library_that_it_does_not_use():
    """Guards against memory that a host pays for nothing."""
    found = [
        name
        for name in loaded_modules()
        if any(
            name == root or name.startswith(f'{root}.') for root in UNWANTED
        )
    ]
    assert found == []


def test_platform_installs_only_what_the_entry_host_needs():
    """Guards against TLS libraries that come with a web client."""
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


def test_entry_host_starts_with_what_the_platform_installs():
    """Guards against a library that is missing on the platform's machines."""
    deployed = {
        'absl',
        'attr',
        'attrs',
        'automat',
        'constantly',
        # Comes with the compiled part of httptools.
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
