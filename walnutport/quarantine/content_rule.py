"""When the crashes of targets that ran a content are enough to refuse it."""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

__all__ = ['FINAL_RULE', 'PROBED_RULE', 'ContentRule']

# Deaths of other targets within this time of the last one of a content show
# that targets die of something else now. Targets that crash in series, as
# while their software is replaced, die some seconds apart.
OTHER_DEATHS_WINDOW_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class ContentRule:
    """Number of deaths that quarantines a content, and when it is probed.

    A content that crashes its targets is in flight at each of its deaths, and
    others are so by chance: one that moves to another target as the first one
    dies is implicated twice if that one dies as well.

    :param deaths: deaths without a success since.
    :param deaths_among_others: the same while other targets die as well.
    :param probe_delays_s: time from the last death to the next probe, by the
        number of deaths since the quarantine began. The last value holds for
        all later ones. Empty if there are no probes.
    """

    deaths: int
    deaths_among_others: int
    probe_delays_s: tuple[float, ...] = ()

    def is_quarantined(
        self,
        deaths: Collection[str],
        last_death_at: float,
        recent_deaths: Mapping[str, float],
    ) -> bool:
        """Return whether a content is quarantined.

        :param deaths: ids of its uncleared deaths.
        :param last_death_at: time of the last one.
        :param recent_deaths: times of the recent deaths of all targets, by id.
        """
        if len(deaths) < self.deaths:
            return False
        return len(deaths) >= self.deaths_among_others or not any(
            abs(died_at - last_death_at) <= OTHER_DEATHS_WINDOW_S
            for death, died_at in recent_deaths.items()
            if death not in deaths
        )

    def next_probe_at(self, death_count: int, last_death_at: float) -> float:
        """Return when a quarantined content may be probed.

        :raises ValueError: if there are no probes.
        """
        if not self.probe_delays_s:
            raise ValueError('the rule has no probes')
        failed = max(0, death_count - self.deaths)
        delays_s = self.probe_delays_s
        return last_death_at + delays_s[min(failed, len(delays_s) - 1)]


#: Refuses contents after two deaths, until nothing was heard of them for long.
FINAL_RULE = ContentRule(2, 2)
#: Refuses contents after as many deaths as cannot be chance, and lets one
#: request through from time to time: soon at first, as that clears those that
#: were in flight by chance.
PROBED_RULE = ContentRule(3, 4, (0.5, 30.0, 120.0, 480.0))
