"""Tests of settings."""

import pytest

from walnutport.config import settings
from walnutport import exceptions


def test_printed_defaults_are_accepted_back() -> None:
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
    """Guards against an error that does not say where it is."""
    with pytest.raises(exceptions.SettingsError, match='.*') as caught:
        settings.parse_settings(text)
    assert path in str(caught.value)


def test_claims_must_outlive_their_keys() -> None:
    """Guards against a log that forgets a claim whose key still runs."""
    with pytest.raises(exceptions.SettingsError, match='retention_s'):
        settings.parse_settings('{"platform": {"retention_s": 689}}')
    settings.parse_settings('{"platform": {"retention_s": 690}}')
