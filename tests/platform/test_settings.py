"""Tests of the platform's settings file."""

import pytest

from walnutport import exceptions
from walnutport.platform import settings

TEXT = """\
nodeName=edge-a-1
ip=10.1.0.41
zone=a
zones.a=west
zones.b=west
listen.front=10.1.0.41:8625
listen.ready=10.1.0.41:8621
portRange=7740,7755
platform.address=10.200.1.7:8624
bounds.drainMs=2500
bounds.newOne=maybe
bounds.coldOver=1.25
limits.cpuShare=0.5
limits.cores=2
somethingNew=yes
bootstrap=false
"""


def test_settings_are_read():
    """Guards against values read in the wrong unit."""
    found = settings.parse_settings(TEXT, 'boot.conf')
    assert found.caller_address == ('10.1.0.41', 8625)
    assert found.data_centres == ('a', 'b')
    assert found.bounds.drain_s == 2.5
    assert (found.bounds.cold_ratio, found.bounds.cold_slack) == (1.25, 5.0)
    assert found.cpu_share == 1.0
    assert not found.is_first_start
    first = settings.parse_settings(
        TEXT.replace('bootstrap=false', 'bootstrap=true'), 'boot.conf'
    )
    assert first.is_first_start


@pytest.mark.parametrize(
    'line, message',
    [
        ('ip=', 'boot.conf: ip is missing'),
        ('listen.front=10.1.0.41', 'boot.conf:6: listen.front'),
        ('portRange=7740', 'boot.conf:8: portRange'),
        ('bootstrap=maybe', 'boot.conf:16: bootstrap: neither "true" nor'),
        ('limits.cores=two', 'boot.conf:14: limits.cores: not a number'),
        ('nodeName', 'boot.conf:1: no "="'),
    ],
)
def test_error_names_the_line_and_the_reason(line, message):
    """Guards against a process that exits without a reason."""
    key = line.partition('=')[0]
    text = ''.join(
        f'{line}\n' if old.partition('=')[0] == key else f'{old}\n'
        for old in TEXT.splitlines()
    )
    with pytest.raises(exceptions.SettingsError, match='boot.conf') as caught:
        settings.parse_settings(text, 'boot.conf')
    assert str(caught.value).startswith(message)


@pytest.mark.parametrize(
    'line',
    [
        'listen.front=10.1.0.41:8²',
        'listen.front=10.1.0.41:' + '9' * 5000,
        'listen.front=10.1.0.41:65536',
        'portRange=7740,7²',
        'portRange=7740,99999',
        'limits.memoryMb=nan',
        'limits.memoryMb=1e400',
        'limits.cores=inf',
    ],
)
def test_odd_number_is_an_error_of_the_settings(line):
    """Guards against a change of the file that ends a running host."""
    with pytest.raises(exceptions.SettingsError):
        settings.parse_settings(f'{TEXT}{line}\n', 'boot.conf')
