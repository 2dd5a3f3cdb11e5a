"""The example and the table of modules in docs/embedding.md."""

import importlib
import re
import subprocess
import sys

from tools import metrics_table

_PAGE = metrics_table.OPERATIONS_PAGE.parent / 'embedding.md'


def test_the_example_runs_without_twisted() -> None:
    """Guards against components that can be used only inside a host.

    The example runs in a separate process because this one has already
    imported Twisted.
    """
    completed = subprocess.run(
        [sys.executable, '-m', 'doctest', str(_PAGE)],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert (completed.returncode, completed.stdout, completed.stderr) == (
        0,
        '',
        '',
    )


def test_public_modules_exist_and_load_no_io() -> None:
    """Guards against a table that lists moved modules or modules with I/O."""
    rows = re.findall(r'^\| (`walnutport\..+?) \|', _PAGE.read_text(), re.M)
    names = []
    for row in rows:
        first, *others = re.findall(r'`(.+?)`', row)
        package = first.rpartition('.')[0]
        names += [first, *(package + other for other in others)]
    assert len(names) >= 13
    for name in names:
        importlib.import_module(name)
    code = f'import sys, {", ".join(names)}; print("twisted" in sys.modules)'
    completed = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.stdout == 'False\n', completed.stderr
