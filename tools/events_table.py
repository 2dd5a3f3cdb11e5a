"""Writes the table of log lines into docs/OPERATIONS.md."""

import pathlib

from walnutport.gateway import events

__all__ = ['PAGE', 'replace_table', 'table']

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'OPERATIONS.md'
_START = '<!-- events: written by python -m tools.events_table -->\n'
_END = '<!-- end of events -->\n'


def table() -> str:
    """Return the declared lines as a table."""
    rows = []
    for event in events.EVENTS:
        fields = [f'`{name}`' for name in event.fields]
        fields += [f'(`{name}`)' for name in event.optional]
        rows.append(
            f'| `{event.name}` | {event.description} '
            f'| {", ".join(fields) or "-"} |\n'
        )
    head = '| event | when | fields |\n|---|---|---|\n'
    return head + ''.join(rows)


def replace_table(page: str) -> str:
    """Return the page with the present table between its marks."""
    before, rest = page.split(_START)
    _, after = rest.split(_END)
    return f'{before}{_START}{table()}{_END}{after}'


if __name__ == '__main__':
    PAGE.write_text(replace_table(PAGE.read_text()))
