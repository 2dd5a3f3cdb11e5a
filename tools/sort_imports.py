"""Sorts blocks of one-line imports as check H306 of hacking requires.

``python -m tools.sort_imports`` rewrites the Python files of the project;
``--check`` only lists the files that it would change. Import sorters order
``from`` imports by module alone, while H306 compares module and name together.
"""

import pathlib
import re
import sys

__all__ = ['main', 'sort_text']

_IMPORT_LINE = re.compile(
    r'^(?:from (?P<module>\S+) import|import) (?P<name>\S+)'
)
_FOLDERS = ('walnutport', 'standins', 'bench', 'tests', 'tools', 'release')


def sort_text(text: str) -> str:
    """Return the text with each block of import lines sorted.

    >>> sort_text('import b' + chr(10) + 'from a import c')
    'from a import c\\nimport b'
    """
    result: list[str] = []
    block: list[str] = []
    for line in text.split('\n'):
        if _IMPORT_LINE.match(line) and not line.endswith('('):
            block.append(line)
            continue
        result += sorted(block, key=_sort_key)
        block = []
        result.append(line)
    result += sorted(block, key=_sort_key)
    return '\n'.join(result)


def main() -> int:
    """Sort or check every file and return the exit status."""
    check_only = '--check' in sys.argv
    unsorted_count = 0
    for folder in _FOLDERS:
        for path in sorted(pathlib.Path(folder).rglob('*.py')):
            text = path.read_text()
            sorted_text = sort_text(text)
            if sorted_text == text:
                continue
            unsorted_count += 1
            sys.stdout.write(f'{path}: imports not sorted\n')
            if not check_only:
                path.write_text(sorted_text)
    return 1 if check_only and unsorted_count else 0


def _sort_key(line: str) -> str:
    match = _IMPORT_LINE.match(line)
    assert match is not None
    module = match['module']
    name = match['name'].rstrip(',')
    return (f'{module}.{name}' if module else name).lower()


if __name__ == '__main__':
    sys.exit(main())
