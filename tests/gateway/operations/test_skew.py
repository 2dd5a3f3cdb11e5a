"""Tests of the grouping of load and speed for operators."""

import random

from tests.routing import test_engines
from walnutport.gateway.operations import skew
from walnutport.routing import outcomes
from walnutport.routing import request_shares
from walnutport.world import requests


def test_busy_data_centre_and_target_are_named():
    """Guards against an average that hides a busy target.

    One data centre of four gets ten times the traffic of the others, and its
    machines are in a slow spell.
    """
    targets = test_engines.ENGINES[:8]
    shares = request_shares.RequestShares()
    target_outcomes = outcomes.TargetOutcomes(random.Random(1))
    for target in targets:
        is_busy = target.data_centre == 'b'
        for _ in range(1000 if is_busy else 100):
            shares.record(target.target_id, 5.0)
        target_outcomes.update_load(
            target,
            requests.ResponseLoad(1, 0, 64, 2.5 if is_busy else 1.0),
            5.0,
        )
    shares.record('e5', 5.0)
    found = skew.describe_service(targets, target_outcomes, shares, 5.0)
    described = found.describe()
    assert described['busiest_target'] == 'e5'
    assert found.busiest[1] > 2.5
    assert found.share_by_data_centre['b'] > 5 * max(
        share
        for name, share in found.share_by_data_centre.items()
        if name != 'b'
    )
    assert described['data_centres']['b']['slowness'] == 2.5
    assert described['data_centres']['a']['slowness'] == 1.0


def test_service_without_requests_has_no_skew():
    """Guards against a division by zero before the first request."""
    found = skew.describe_service(
        test_engines.ENGINES[:2],
        outcomes.TargetOutcomes(random.Random(1)),
        request_shares.RequestShares(),
        0.0,
    )
    assert found.busiest[1] == 1.0


def test_shares_survive_long_uptimes():
    """Guards against weights that overflow after some days."""
    shares = request_shares.RequestShares()
    for day in range(30):
        now = day * 86_400.0
        for target_id in ('a', 'a', 'a', 'b'):
            for _ in range(100):
                shares.record(target_id, now)
        ratios = shares.ratios(['a', 'b'], now)
        assert 1.4 < ratios['a'] < 1.5 and 0.5 < ratios['b'] < 0.6
