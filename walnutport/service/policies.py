"""Builds the policies of a host from its settings."""

import dataclasses
import random

from walnutport.admission import control
from walnutport.config import settings as config
from walnutport import interfaces
from walnutport.naive import admission as naive_admission
from walnutport.naive import policies as naive
from walnutport.quarantine import suspects
from walnutport.retries import policy as retry_policy
from walnutport.routing import router

__all__ = ['Policies', 'build_policies']


@dataclasses.dataclass(frozen=True, slots=True)
class Policies:
    """The replaceable policies of one host.

    :param at_most_once: whether stages that must not be repeated are sent at
        most once, whatever the retry policy says.
    """

    admission: interfaces.Admission
    router: interfaces.Router
    retries: interfaces.RetryPolicy
    quarantine: interfaces.Quarantine
    at_most_once: bool = True


def build_policies(settings: config.HostSettings) -> Policies:
    """Return the policies that the settings select."""
    policy_settings = settings.policies
    rng = random.Random(f'{policy_settings.random_seed}/{settings.host_id}')
    if policy_settings.policy == 'naive':
        return Policies(
            admission=naive_admission.NoAdmission(),
            router=naive.RandomRouter(rng),
            retries=naive.BlindRetry(),
            quarantine=naive.NoQuarantine(),
            at_most_once=False,
        )
    return Policies(
        admission=control.AdmissionControl(
            settings.host_id, policy_settings.max_queued
        ),
        router=router.StandardRouter(
            settings.host_id,
            settings.data_centre,
            subset_size=policy_settings.subset_size,
            max_ejected_share=policy_settings.max_ejected_share,
            rng=rng,
        ),
        retries=retry_policy.StandardRetryPolicy(
            policy_settings.retry_budget_share, rng
        ),
        quarantine=suspects.SuspectTable(),
    )
