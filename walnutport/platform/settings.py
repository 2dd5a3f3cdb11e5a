"""Reads the platform's settings file of lines ``a.b=value``."""

import math
import os
import re

from walnutport.config import entry_settings
from walnutport import exceptions
from walnutport.platform import wire

__all__ = ['load_settings', 'parse_settings', 'settings_path']

MAX_PORT = 65535
_PORT = re.compile(r'[0-9]{1,5}')


def settings_path() -> str:
    """Return the path of the settings file.

    :raises SettingsError: if the environment variable is not set.
    """
    path = os.environ.get(wire.SETTINGS_VARIABLE, '')
    if not path:
        raise exceptions.SettingsError(
            f'environment variable {wire.SETTINGS_VARIABLE} is not set to the '
            'path of a settings file'
        )
    return path


def load_settings(path: str) -> entry_settings.EntrySettings:
    """Read a settings file.

    :raises SettingsError: if it cannot be read or is invalid.
    """
    try:
        with open(path, encoding='utf-8') as file:
            return parse_settings(file.read(), path)
    except (OSError, UnicodeDecodeError) as problem:
        raise exceptions.SettingsError(f'{path}: {problem}') from problem


def parse_settings(text: str, path: str) -> entry_settings.EntrySettings:
    """Parse the text of a settings file; unknown keys are ignored.

    :param path: path of the file for error messages.
    :raises SettingsError: with the line number and the reason.
    """
    lines = _SettingsLines(text, path)
    defaults = entry_settings.EntryBounds()
    bounds = entry_settings.EntryBounds(
        drain_s=lines.number('bounds.drainMs', defaults.drain_s * 1000) / 1000,
        grace_s=lines.number('bounds.graceS', defaults.grace_s),
        retry_ratio=lines.number(
            'bounds.retryBudgetRatio', defaults.retry_ratio
        ),
        retry_slack=lines.number('bounds.retrySlack', defaults.retry_slack),
        retry_window_s=lines.number(
            'bounds.budgetWindowS', defaults.retry_window_s
        ),
        cold_ratio=lines.number('bounds.coldOver', defaults.cold_ratio),
        cold_slack=lines.number('bounds.coldSlack', defaults.cold_slack),
    )
    first_port, last_port = lines.port_range('portRange')
    data_centres = tuple(
        key.removeprefix('zones.')
        for key in lines.value_by_key
        if key.startswith('zones.')
    )
    return entry_settings.EntrySettings(
        name=lines.text('nodeName'),
        ip=lines.text('ip'),
        data_centre=lines.text('zone'),
        data_centres=data_centres,
        caller_address=lines.address('listen.front'),
        readiness_address=lines.address('listen.ready'),
        peer_ports=(first_port, last_port),
        store_address=lines.address('platform.address'),
        cpu_share=lines.number('limits.cpuShare', 1.0)
        * lines.number('limits.cores', 1.0),
        memory_bytes=int(lines.number('limits.memoryMb', 300.0) * 1_000_000),
        link_mbps=lines.number('limits.linkMbps', 1000.0),
        heartbeat_s=lines.number('heartbeatMs', 1200.0) / 1000,
        bounds=bounds,
        is_first_start=lines.flag('bootstrap'),
    )


class _SettingsLines:
    """Values and line numbers of a settings file, by key."""

    def __init__(self, text: str, path: str) -> None:
        self.value_by_key: dict[str, str] = {}
        self._line_by_key: dict[str, int] = {}
        self._path = path
        for number, line in enumerate(text.splitlines(), 1):
            stripped = line.strip()
            if not stripped or stripped.startswith('#'):
                continue
            key, separator, value = stripped.partition('=')
            if not separator:
                raise exceptions.SettingsError(
                    f'{path}:{number}: no "=" in the line'
                )
            self.value_by_key[key.strip()] = value.strip()
            self._line_by_key[key.strip()] = number

    def text(self, key: str) -> str:
        value = self.value_by_key.get(key, '')
        if not value:
            raise exceptions.SettingsError(f'{self._path}: {key} is missing')
        return value

    def number(self, key: str, default: float) -> float:
        value = self.value_by_key.get(key)
        if value is None or value == '':
            return default
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            raise self._error(key, 'not a number')
        return number

    def flag(self, key: str) -> bool:
        value = self.value_by_key.get(key, '')
        if value not in ('', 'false', 'true'):
            raise self._error(key, 'neither "true" nor "false"')
        return value == 'true'

    def address(self, key: str) -> tuple[str, int]:
        host, separator, port = self.text(key).rpartition(':')
        if not separator or not host or not _is_port(port):
            raise self._error(key, 'not of the form IP:PORT')
        return host, int(port)

    def port_range(self, key: str) -> tuple[int, int]:
        first, separator, last = self.text(key).partition(',')
        if not separator or not _is_port(first) or not _is_port(last):
            raise self._error(key, 'not of the form FIRST,LAST')
        return int(first), int(last)

    def _error(self, key: str, reason: str) -> exceptions.SettingsError:
        return exceptions.SettingsError(
            f'{self._path}:{self._line_by_key[key]}: {key}: {reason}'
        )


def _is_port(text: str) -> bool:
    return bool(_PORT.fullmatch(text)) and int(text) <= MAX_PORT
