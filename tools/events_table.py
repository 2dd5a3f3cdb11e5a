"""Writes the table of log events into docs/OPERATIONS.md."""

import pathlib

from walnutport.gateway.operations import events

__all__ = ['OPERATIONS_PAGE', 'replace_table', 'table']

OPERATIONS_PAGE = (
    pathlib.Path(__file__).parent.parent / 'docs' / 'OPERATIONS.md'
)
_START_MARKER = '<!-- events: written by python -m tools.events_table -->\n'
_END_MARKER = '<!-- end of events -->\n'


def table() -> str:
    """Return the declared events as a Markdown table."""
    rows = []
    for event in events.EVENTS:
        fields = [f'`{name}`' for name in event.fields]
        fields += [f'(`{name}`)' for name in event.optional]
        rows.append(
            f'| `{event.name}` | {event.description} '
            f'| {", ".join(fields) or "-"} |\n'
        )
    header = '| event | when | fields |\n|---|---|---|\n'
    return header + ''.join(rows)


def replace_table(page: str) -> str:
    """Return the page with the current table between the markers."""
    before, rest = page.split(_START_MARKER)
    _, after = rest.split(_END_MARKER)
    return f'{before}{_START_MARKER}{table()}{_END_MARKER}{after}'


if __name__ == '__main__':
    OPERATIONS_PAGE.write_text(replace_table(OPERATIONS_PAGE.read_text()))
