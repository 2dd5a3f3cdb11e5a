"""Builds the decision parts that a host runs with."""

from collections.abc import Callable
import dataclasses
import random

from walnutport.config import settings as config
from walnutport import interfaces
from walnutport.naive import policies as naive
from walnutport.quarantine import suspects
from walnutport.retries import policy as retry_policy
from walnutport.routing import router

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
    chosen = settings.policies
    rng = random.Random(f'{chosen.random_seed}/{settings.host_id}')
    if chosen.policy == 'standard':
        return Policies(
            entry_queue=naive.UnboundedQueue(),
            new_pool_queue=lambda service: naive.UnboundedQueue(),
            router=router.StandardRouter(
                settings.host_id,
                settings.data_centre,
                subset_size=chosen.subset_size,
                max_ejected_share=chosen.max_ejected_share,
                rng=rng,
            ),
            retries=retry_policy.StandardRetry(chosen.retry_budget_share, rng),
            quarantine=suspects.SuspectBook(),
        )
    return Policies(
        entry_queue=naive.UnboundedQueue(),
        new_pool_queue=lambda service: naive.UnboundedQueue(),
        router=naive.RandomRouter(rng),
        retries=naive.BlindRetry(),
        quarantine=naive.NoQuarantine(),
        at_most_once=settings.policies.policy != 'naive',
    )
