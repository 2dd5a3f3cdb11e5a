"""Hypothesis profiles: fixed seeds in CI, random seeds in soak runs."""

import os

import hypothesis
from hypothesis.internal.conjecture import providers

# Hypothesis also draws constants that it finds in the loaded modules of the
# project. The inputs of a seed would then change whenever a module is added or
# a test runs alone.
providers._get_local_constants = lambda: providers._local_constants

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    'soak',
    parent=hypothesis.settings.get_profile('ci'),
    derandomize=False,
    print_blob=True,
)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
