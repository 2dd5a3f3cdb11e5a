"""Writes the table of metrics into docs/OPERATIONS.md."""

import pathlib

from walnutport.metrics import families

__all__ = ['OPERATIONS_PAGE', 'replace_table', 'table']

OPERATIONS_PAGE = (
    pathlib.Path(__file__).parent.parent / 'docs' / 'OPERATIONS.md'
)
_START_MARKER = '<!-- metrics: written by python -m tools.metrics_table -->\n'
_END_MARKER = '<!-- end -->\n'


def table() -> str:
    """Return the metric families as a Markdown table."""
    rows = [
        f'| `{family.exposed_name}` | {family.kind.value} '
        f'| {", ".join(family.labels) or "-"} | {family.help_text} |\n'
        for family in families.FAMILIES
    ]
    header = '| metric | kind | labels | meaning |\n|---|---|---|---|\n'
    return header + ''.join(rows)


def replace_table(page: str) -> str:
    """Return the page with the current table between the markers."""
    before, rest = page.split(_START_MARKER)
    _, after = rest.split(_END_MARKER)
    return f'{before}{_START_MARKER}{table()}{_END_MARKER}{after}'


if __name__ == '__main__':
    OPERATIONS_PAGE.write_text(replace_table(OPERATIONS_PAGE.read_text()))
