"""Tests of the subcommand that validates settings and catalogue files."""

import json
import pathlib

import pytest

from walnutport.cli import check
from walnutport.cli import exit_codes

_CONTRACT = {
    'entry_id': 'c',
    'owner': 'm',
    'class_id': 'k',
    'pipeline_id': 'nowhere',
}


@pytest.mark.parametrize(
    ('content', 'errors'),
    [
        ({'surprise': 1}, ['$.surprise: ']),
        (
            [
                {
                    'kind': 'pipeline',
                    'name': 'p',
                    'body': {'pipeline_id': 'p', 'stages': [{'name': 'a'}]},
                }
            ],
            ['$.0.body.stages.0.service: '],
        ),
        (
            [{'kind': 'contract', 'name': 'c', 'body': _CONTRACT}],
            [
                "$.pipeline_id: no pipeline 'nowhere'",
                "$.class_id: no class 'k'",
                "$.owner: no member 'm'",
            ],
        ),
    ],
)
def test_errors_name_path_and_reason(
    content: object, errors: list[str], tmp_path: pathlib.Path, capsys
) -> None:
    """Guards against invalid entries that pass, and errors without a path."""
    path = tmp_path / 'file.json'
    path.write_text(json.dumps(content))
    assert check.run(['check', str(path)]) == exit_codes.INVALID
    printed = capsys.readouterr().err
    assert all(error in printed for error in errors)
