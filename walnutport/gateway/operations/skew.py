"""Groups load and speed of targets for operators.

Covers traffic that is uneven between targets and between data centres. A
figure of one target among 5,200 says little; these show the service and the
data centre to look at.
"""

from collections.abc import Iterable
import dataclasses

from walnutport.routing import outcomes
from walnutport.routing import request_shares
from walnutport.world import registrations

__all__ = ['ServiceSkew', 'describe_service', 'group_by_service']


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSkew:
    """Distribution of the recent requests of one service.

    :param share_by_target: requests of each target divided by the mean.
    :param share_by_data_centre: mean requests of the targets of a data centre,
        divided by the mean of all.
    :param slowness_by_data_centre: mean reported slowness of its targets, 1
        where none reports.
    """

    share_by_target: dict[str, float]
    share_by_data_centre: dict[str, float]
    slowness_by_data_centre: dict[str, float]

    @property
    def busiest(self) -> tuple[str, float]:
        """Target with the most requests, and these divided by the mean."""
        return max(
            self.share_by_target.items(), key=lambda item: (item[1], item[0])
        )

    def describe(self) -> dict[str, object]:
        """Return the skew as shown to operators."""
        busiest_target, share = self.busiest
        return {
            'busiest_target': busiest_target,
            'busiest_share': round(share, 2),
            'data_centres': {
                data_centre: {
                    'share': round(mean, 2),
                    'slowness': round(
                        self.slowness_by_data_centre[data_centre], 2
                    ),
                }
                for data_centre, mean in self.share_by_data_centre.items()
            },
        }


def group_by_service(
    targets: Iterable[registrations.RegisteredTarget],
) -> dict[str, list[registrations.RegisteredTarget]]:
    """Return the targets of each service."""
    targets_by_service: dict[str, list[registrations.RegisteredTarget]] = {}
    for target in targets:
        targets_by_service.setdefault(target.service, []).append(target)
    return targets_by_service


def describe_service(
    targets: list[registrations.RegisteredTarget],
    target_outcomes: outcomes.TargetOutcomes,
    shares: request_shares.RequestShares,
    now: float,
) -> ServiceSkew:
    """Return the skew of the targets of one service, which has some."""
    ratio_by_id = shares.ratios([target.target_id for target in targets], now)
    ratios: dict[str, list[float]] = {}
    slowness: dict[str, list[float]] = {}
    for target in targets:
        ratios.setdefault(target.data_centre, []).append(
            ratio_by_id[target.target_id]
        )
        slowness.setdefault(target.data_centre, []).append(
            target_outcomes.stats(target).speed.slowness(now)
        )
    return ServiceSkew(
        ratio_by_id,
        {key: sum(found) / len(found) for key, found in ratios.items()},
        {key: sum(found) / len(found) for key, found in slowness.items()},
    )
