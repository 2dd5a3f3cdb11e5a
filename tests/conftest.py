"""Hypothesis profiles: fixed seeds in CI, fresh ones in a soak run."""

import os

import hypothesis

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
