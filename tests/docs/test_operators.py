"""Check the tables of docs/OPERATIONS.md and the links of all pages."""

import json
import pathlib
import re

from tools import metrics_table
from walnutport.config import settings as config
from walnutport.lifecycle import answers
from walnutport.service.records import claims

_PAGE = metrics_table.OPERATIONS_PAGE.read_text()
_ROOT = metrics_table.OPERATIONS_PAGE.parent.parent
_DEFAULT_STATUS_BY_OUTCOME = {
    outcome: answers.Answer(outcome, answers.Reason.OK).http_status
    for outcome in answers.Outcome
}


def _rows(title: str) -> dict[str, list[str]]:
    """Return the table cells of a section, keyed by the first column."""
    section = re.split(
        r'^### ', _PAGE.split(f'\n### {title}\n')[1], flags=re.M
    )
    rows = re.findall(r'^\| `(.+?)` \| (.*) \|$', section[0], re.M)
    cells_by_name = {name: row.split(' | ') for name, row in rows}
    assert len(cells_by_name) == len(rows), 'a name has two rows'
    assert all(
        cell.strip() for cells in cells_by_name.values() for cell in cells
    )
    return cells_by_name


def _leaves(prefix: str, value: object) -> dict[str, object]:
    if not isinstance(value, dict):
        return {prefix: value}
    return {
        name: leaf
        for key, item in value.items()
        for name, leaf in _leaves(f'{prefix}.{key}'.lstrip('.'), item).items()
    }


def test_every_setting_is_described_with_its_default() -> None:
    """Guards against undocumented settings and wrong defaults."""
    defaults = json.loads(config.dump_settings(config.default_settings()))
    described = {
        name: json.loads(cells[0].strip('`'))
        for name, cells in _rows('Settings').items()
    }
    assert described == _leaves('', defaults)


def test_every_metric_is_described() -> None:
    """Guards against an outdated table of metrics.

    ``tests/integration/test_operators.py`` checks the metrics of a host.
    """
    assert metrics_table.replace_table(_PAGE) == _PAGE


def test_every_log_prefix_is_described() -> None:
    """Guards against undocumented log prefixes."""
    prefixes = {
        prefix
        for path in (_ROOT / 'walnutport').rglob('*.py')
        for prefix in re.findall(
            r"^PREFIX = '(.+)'", path.read_text(), flags=re.M
        )
    }
    assert set(_rows('Log prefixes')) == prefixes


def test_every_reason_has_outcome_status_and_advice() -> None:
    """Guards against undocumented reasons and wrong HTTP statuses."""
    rows = _rows('Reasons')
    assert list(rows) == [reason.value for reason in answers.Reason]
    for name, (pairs, _, _) in rows.items():
        for pair in pairs.split(', '):
            outcome, status = pair.split(' ')
            default_status = _DEFAULT_STATUS_BY_OUTCOME[
                answers.Outcome(outcome)
            ]
            claim_status = claims.HTTP_STATUS_BY_REASON.get(
                answers.Reason(name)
            )
            assert int(status) == (claim_status or default_status) or (
                claim_status is None and 400 <= int(status) < 500
            )


def test_links_of_the_pages_resolve() -> None:
    """Guards against links to renamed pages and sections."""
    pages = [_ROOT / 'README.md', *(_ROOT / 'docs').rglob('*.md')]
    for page in pages:
        for link in re.findall(r'\]\(([^)\s]+)\)', page.read_text()):
            path, _, section = link.partition('#')
            linked_page = page if not path else page.parent / path
            assert '://' in link or linked_page.exists(), f'{page}: {link}'
            if section:
                assert section in _anchors(linked_page), f'{page}: {link}'


def _anchors(page: pathlib.Path) -> set[str]:
    titles = re.findall(r'^#+ (.+)$', page.read_text(), re.M)
    return {
        re.sub(r'[^\w\- ]', '', title).lower().replace(' ', '-')
        for title in titles
    }
