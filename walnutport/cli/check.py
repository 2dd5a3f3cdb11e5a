"""Check settings files and catalogue files without running anything.

walnutport check FILE...

A file that holds a JSON object is checked as settings of a host; one that
holds a JSON list, as a catalogue with the items {"kind", "name", "body"}; one
with lines of the form a.b=value, as settings of an entry host on a platform.
In a catalogue, the pipelines, classes, owners and callers that contracts name
must exist. Each error is printed with file, path or line, and reason.

Exit codes:
  0  every file is valid
  2  wrong use of the command
  3  a file is missing or invalid
"""

from collections.abc import Iterator
import json
import pathlib
import sys

from walnutport.catalogue import editor
from walnutport.catalogue import records
from walnutport.cli import exit_codes
from walnutport.config import settings as config
from walnutport import exceptions
from walnutport.platform import settings as platform_settings
from walnutport import world

__all__ = ['check_text', 'run']


def run(argv: list[str]) -> int:
    """Run the subcommand and return its exit code."""
    if len(argv) < 2:
        sys.stderr.write('name at least one file; see --help\n')
        return exit_codes.USAGE
    failed = False
    for path in argv[1:]:
        try:
            errors = list(check_text(pathlib.Path(path).read_text()))
        except (OSError, UnicodeDecodeError) as error:
            errors = [str(error)]
        for error_text in errors:
            sys.stderr.write(f'{path}: {error_text}\n')
        if not errors:
            sys.stdout.write(f'{path}: valid\n')
        failed = failed or bool(errors)
    return exit_codes.INVALID if failed else exit_codes.OK


def check_text(text: str) -> Iterator[str]:
    """Yield the errors in the text of a settings or catalogue file.

    >>> list(check_text('{}'))
    []
    >>> list(check_text('nodeName=edge-1'))[0]
    'settings: portRange is missing'
    """
    if _is_platform_settings(text):
        try:
            platform_settings.parse_settings(text, 'settings')
        except exceptions.SettingsError as error:
            yield str(error)
        return
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as error:
        yield f'$: not JSON: {error}'
        return
    if isinstance(data, list):
        yield from _check_catalogue(data)
        return
    try:
        config.parse_settings(text)
    except exceptions.SettingsError as error:
        yield from str(error).split('; ')


def _is_platform_settings(text: str) -> bool:
    first = text.lstrip().partition('\n')[0]
    return '=' in first and not first.startswith(('{', '['))


def _check_catalogue(items: list) -> Iterator[str]:
    definitions_by_key: dict[tuple[str, str], records.Definition] = {}
    for index, item in enumerate(items):
        path = f'$.{index}'
        if not isinstance(item, dict) or item.keys() != {
            'kind',
            'name',
            'body',
        }:
            yield f'{path}: must have exactly the keys kind, name and body'
        elif item['kind'] not in list(records.EntryKind):
            yield f'{path}.kind: must be one of {", ".join(records.EntryKind)}'
        elif (item['kind'], str(item['name'])) in definitions_by_key:
            yield f'{path}.name: {item["name"]!r} occurs twice'
        else:
            kind, body = records.EntryKind(item['kind']), item['body']
            name = str(item['name'])
            try:
                editor.check_definition(kind, name, json.dumps(body))
                definitions_by_key[kind, name] = records.parse_definition(
                    kind, json.dumps(body)
                )
            except exceptions.CatalogueError as error:
                for reason in str(error).split('; '):
                    yield reason.replace('$', f'{path}.body', 1)
    yield from _check_references(definitions_by_key)


def _check_references(
    definitions_by_key: dict[tuple[str, str], records.Definition],
) -> Iterator[str]:
    for (_, name), definition in definitions_by_key.items():
        if not isinstance(definition, world.Contract):
            continue
        references = [
            (
                'pipeline_id',
                records.EntryKind.PIPELINE,
                definition.pipeline_id,
            ),
            ('class_id', records.EntryKind.SERVICE_CLASS, definition.class_id),
            ('owner', records.EntryKind.MEMBER, definition.owner),
        ]
        references += [
            ('callers', records.EntryKind.MEMBER, caller)
            for caller in definition.callers
        ]
        for field, kind, referenced in references:
            if (kind, referenced) not in definitions_by_key:
                yield f'contract {name!r}: $.{field}: no {kind} {referenced!r}'
