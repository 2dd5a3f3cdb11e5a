"""Builds the decision parts that a host runs with."""

import dataclasses
import random

from walnutport.admission import control
from walnutport.config import settings as config
from walnutport import interfaces
from walnutport.naive import admission as naive_admission
from walnutport.naive import policies as naive

__all__ = ['Policies', 'build_policies']


@dataclasses.dataclass(frozen=True, slots=True)
class Policies:
    """The replaceable decision parts of one host."""

    admission: interfaces.Admission
    router: interfaces.Router
    retries: interfaces.RetryPolicy
    quarantine: interfaces.Quarantine


def build_policies(settings: config.HostSettings) -> Policies:
    """Return the decision parts that the settings ask for."""
    rng = random.Random(f'{settings.policies.random_seed}/{settings.host_id}')
    return Policies(
        admission=_build_admission(settings),
        router=naive.RandomRouter(rng),
        retries=naive.BlindRetry(),
        quarantine=naive.NoQuarantine(),
    )


def _build_admission(settings: config.HostSettings) -> interfaces.Admission:
    if settings.policies.policy == 'naive':
        return naive_admission.NoAdmission()
    return control.AdmissionControl(
        settings.host_id, settings.policies.max_queued
    )
