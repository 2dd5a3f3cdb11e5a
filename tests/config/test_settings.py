"""Tests of the parsing and validation of settings."""

import pytest

from walnutport.config import settings
from walnutport import exceptions


def test_default_settings_round_trip() -> None:
    """Guards against defaults that fail their own validation."""
    defaults = settings.default_settings()
    assert settings.parse_settings(settings.dump_settings(defaults)) == (
        defaults
    )


@pytest.mark.parametrize(
    ('text', 'path'),
    [
        ('{"unknown": 1}', '$.unknown'),
        ('{"callers": {"listen": {"ip": "host.example"}}}', '$.callers'),
        ('{"policies": {"retry_budget_share": 2}}', 'retry_budget_share'),
        ('{"host_id": ""}', '$.host_id'),
        ('[', 'JSON'),
    ],
)
def test_invalid_settings_name_the_path(text: str, path: str) -> None:
    """Guards against an error without the path of the invalid setting."""
    with pytest.raises(exceptions.SettingsError, match='.*') as caught:
        settings.parse_settings(text)
    assert path in str(caught.value)


def test_retention_must_cover_claim_memory_and_clock_skew() -> None:
    """Guards against a log that drops a claim whose key is still valid."""
    with pytest.raises(exceptions.SettingsError, match='retention_s'):
        settings.parse_settings('{"platform": {"retention_s": 689}}')
    settings.parse_settings('{"platform": {"retention_s": 690}}')
