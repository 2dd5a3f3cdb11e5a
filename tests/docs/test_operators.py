"""docs/OPERATIONS.md against the program."""

import json
import pathlib
import re

from tools import metrics_table
from walnutport.config import settings as config
from walnutport.lifecycle import answers
from walnutport.service.records import claims

_PAGE = metrics_table.PAGE.read_text()
_ROOT = metrics_table.PAGE.parent.parent
_DEFAULT_STATUS_BY_OUTCOME = {
    outcome: answers.Answer(outcome, answers.Reason.OK).http_status
    for outcome in answers.Outcome
}


def _rows(title: str) -> dict[str, list[str]]:
    """Return the cells of the table in a section by its first column."""
    section = re.split(
        r'^### ', _PAGE.split(f'\n### {title}\n')[1], flags=re.M
    )
    rows = re.findall(r'^\| `(.+?)` \| (.*) \|$', section[0], re.M)
    found = {name: rest.split(' | ') for name, rest in rows}
    assert len(found) == len(rows), 'a name has two rows'
    assert all(cell.strip() for cells in found.values() for cell in cells)
    return found


def _leaves(prefix: str, value: object) -> dict[str, object]:
    if not isinstance(value, dict):
        return {prefix: value}
    return {
        name: leaf
        for key, item in value.items()
        for name, leaf in _leaves(f'{prefix}.{key}'.lstrip('.'), item).items()
    }


def test_every_setting_is_described_with_its_default() -> None:
    """Guards against settings that nobody on call can look up."""
    defaults = json.loads(config.dump_settings(config.default_settings()))
    described = {
        name: json.loads(cells[0].strip('`'))
        for name, cells in _rows('Settings').items()
    }
    assert described == _leaves('', defaults)


def test_every_metric_is_described() -> None:
    """Guards against a stale table.

    ``tests/integration/test_operators.py`` compares it with a host.
    """
    assert metrics_table.replace_table(_PAGE) == _PAGE


def test_every_log_prefix_is_described() -> None:
    """Guards against log lines of an unknown origin."""
    prefixes = {
        prefix
        for path in (_ROOT / 'walnutport').rglob('*.py')
        for prefix in re.findall(
            r"^PREFIX = '(.+)'", path.read_text(), flags=re.M
        )
    }
    assert set(_rows('Log prefixes')) == prefixes


def test_every_reason_has_outcome_status_and_advice() -> None:
    """Guards against refusals that the page does not explain."""
    rows = _rows('Reasons')
    assert list(rows) == [reason.value for reason in answers.Reason]
    for name, (pairs, _, _) in rows.items():
        for pair in pairs.split(', '):
            outcome, status = pair.split(' ')
            usual = _DEFAULT_STATUS_BY_OUTCOME[answers.Outcome(outcome)]
            own = claims._STATUS_BY_REASON.get(answers.Reason(name))
            assert int(status) == (own or usual) or (
                own is None and 400 <= int(status) < 500
            )


def test_links_of_the_pages_lead_somewhere() -> None:
    """Guards against links to pages and sections that were renamed."""
    pages = [_ROOT / 'README.md', *(_ROOT / 'docs').rglob('*.md')]
    for page in pages:
        for link in re.findall(r'\]\(([^)\s]+)\)', page.read_text()):
            path, _, section = link.partition('#')
            target = page if not path else page.parent / path
            assert '://' in link or target.exists(), f'{page}: {link}'
            if section:
                assert section in _anchors(target), f'{page}: {link}'


def _anchors(page: pathlib.Path) -> set[str]:
    titles = re.findall(r'^#+ (.+)$', page.read_text(), re.M)
    return {
        re.sub(r'[^\w\- ]', '', title).lower().replace(' ', '-')
        for title in titles
    }
