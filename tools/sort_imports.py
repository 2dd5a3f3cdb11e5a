"""Sorts blocks of one-line imports in the order that hacking H306 asks for.

``python -m tools.sort_imports`` rewrites the tracked and new Python files;
``--check`` only lists files that would change. Import sorters order ``from``
imports by module alone, while H306 compares module and name together.
"""

import pathlib
import re
import sys

__all__ = ['main', 'sort_text']

_IMPORT = re.compile(r'^(?:from (?P<module>\S+) import|import) (?P<name>\S+)')
_FOLDERS = ('walnutport', 'standins', 'bench', 'tests', 'tools', 'release')


def sort_text(text: str) -> str:
    """Return the text with each block of import lines sorted.

    >>> sort_text('import b' + chr(10) + 'from a import c')
    'from a import c\\nimport b'
    """
    result: list[str] = []
    block: list[str] = []
    for line in text.split('\n'):
        if _IMPORT.match(line) and not line.endswith('('):
            block.append(line)
            continue
        result += sorted(block, key=_key)
        block = []
        result.append(line)
    result += sorted(block, key=_key)
    return '\n'.join(result)


def main() -> int:
    """Sort or check every file and return the exit code."""
    check = '--check' in sys.argv
    changed = 0
    for folder in _FOLDERS:
        for path in sorted(pathlib.Path(folder).rglob('*.py')):
            text = path.read_text()
            wanted = sort_text(text)
            if wanted == text:
                continue
            changed += 1
            sys.stdout.write(f'{path}: imports not sorted\n')
            if not check:
                path.write_text(wanted)
    return 1 if check and changed else 0


def _key(line: str) -> str:
    match = _IMPORT.match(line)
    assert match is not None
    module = match['module']
    name = match['name'].rstrip(',')
    return (f'{module}.{name}' if module else name).lower()


if __name__ == '__main__':
    sys.exit(main())
