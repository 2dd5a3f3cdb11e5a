"""Writes the table of metrics into docs/OPERATIONS.md."""

import pathlib

from walnutport.metrics import families

__all__ = ['PAGE', 'replace_table', 'table']

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'OPERATIONS.md'
_START = '<!-- metrics: written by python -m tools.metrics_table -->\n'
_END = '<!-- end -->\n'


def table() -> str:
    """Return the families as a table."""
    rows = [
        f'| `{family.exposed_name}` | {family.kind.value} '
        f'| {", ".join(family.labels) or "-"} | {family.help_text} |\n'
        for family in families.FAMILIES
    ]
    head = '| metric | kind | labels | meaning |\n|---|---|---|---|\n'
    return head + ''.join(rows)


def replace_table(page: str) -> str:
    """Return the page with the present table between its marks."""
    before, rest = page.split(_START)
    _, after = rest.split(_END)
    return f'{before}{_START}{table()}{_END}{after}'


if __name__ == '__main__':
    PAGE.write_text(replace_table(PAGE.read_text()))
