"""Tests of the decision whether a host is cut off from all targets."""

import random

import pytest

from walnutport.membership import target_path
from walnutport.world import registrations


def target(number: int, service: str, draining: bool = False):
    """Return a registered target."""
    return registrations.RegisteredTarget(
        f'{service}-{number}',
        0,
        service,
        ('10.0.0.1', number),
        'a',
        4,
        draining,
        0.0,
    )


@pytest.fixture
def path():
    """Return the path of a host that has just started."""
    return target_path.TargetPath(random.Random(1))


def test_sample_has_targets_of_as_many_services_as_possible(path):
    """Guards against hosts that feel cut off when one service is down."""
    targets = [target(number, 'many') for number in range(50)]
    targets += [target(1, 'few'), target(1, 'other'), target(2, 'few', True)]
    sample = path.sample(targets, avoid='many-3')
    assert len(sample) == target_path.SAMPLE_SIZE
    assert {chosen.service for chosen in sample} == {'many', 'few', 'other'}
    assert not any(chosen.draining for chosen in sample)
    assert 'many-3' not in {chosen.target_id for chosen in sample}


def test_one_connection_shows_that_the_host_is_not_cut_off(path):
    """Guards against a cut that outlasts the fault, or a check each time."""
    assert path.needs_check(0.0)
    assert path.sample_failed(4, 0.9, 1.0)
    assert not path.sample_failed(4, 1.4, 1.5)
    assert path.is_cut
    assert path.answered(2.0, 2.0)
    assert not path.is_cut
    assert not path.needs_check(2.0 + target_path.TRUST_S / 2)
    assert path.needs_check(2.01 + target_path.TRUST_S)


def test_a_single_failed_target_shows_nothing(path):
    """Guards against a host that hands all work over for one target."""
    assert not path.sample_failed(1, 0.9, 1.0)
    assert not path.is_cut
