"""Builds the decision parts that a host runs with."""

from collections.abc import Callable
import dataclasses
import random

from walnutport.config import settings as config
from walnutport import interfaces
from walnutport.naive import policies as naive

__all__ = ['Policies', 'build_policies']


@dataclasses.dataclass(frozen=True, slots=True)
class Policies:
    """The replaceable decision parts of one host.

    :param new_pool_queue: makes the queue in front of a pool of targets.
    :param at_most_once: whether stages that may not be repeated are sent
        once at most, whatever the retry policy says.
    """

    entry_queue: interfaces.AdmissionQueue
    new_pool_queue: Callable[[str], interfaces.AdmissionQueue]
    router: interfaces.Router
    retries: interfaces.RetryPolicy
    quarantine: interfaces.Quarantine
    at_most_once: bool = True


def build_policies(settings: config.HostSettings) -> Policies:
    """Return the decision parts that the settings ask for."""
    rng = random.Random(f'{settings.policies.random_seed}/{settings.host_id}')
    return Policies(
        entry_queue=naive.UnboundedQueue(),
        new_pool_queue=lambda service: naive.UnboundedQueue(),
        router=naive.RandomRouter(rng),
        retries=naive.BlindRetry(),
        quarantine=naive.NoQuarantine(),
        at_most_once=settings.policies.policy != 'naive',
    )
