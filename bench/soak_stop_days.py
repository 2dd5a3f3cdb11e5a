"""Random schedules of two series of stops that overlap."""

import dataclasses
import random

__all__ = ['Stop', 'StopDay', 'draw']

MIN_HOSTS = 3
MAX_HOSTS = 6
# Time between the stop signal and the kill, in seconds.
GRACES_S = (4.0, 5.0, 8.0)
# Share of the series that leave one host out.
ONE_STAYS_SHARE = 0.4
# Share of the rounds in which engines have slow spells.
SPELLS_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Planned stop of a host.

    :param at_s: time of the signal, in seconds from the begin of the round; a
        host that is not back by then gets it once it is ready.
    :param down_s: time until the host is started again.
    """

    host: int
    at_s: float
    down_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopDay:
    """Schedule of a round.

    :param stops: in the order of their signals.
    :param events: events of a stream.
    :param has_spells: whether engines have slow spells.
    """

    hosts: int
    grace_s: float
    events: int
    has_spells: bool
    stops: tuple[Stop, ...]


def draw(seed: int) -> StopDay:
    """Return the schedule of a round."""
    rng = random.Random(f'{seed}/stops')
    hosts = rng.randint(MIN_HOSTS, MAX_HOSTS)
    grace_s = rng.choice(GRACES_S)
    begin_s = 3.0
    stops = _draw_series(rng, hosts, begin_s)
    begin_s += rng.uniform(0.3, 0.8) * grace_s
    stops += _draw_series(rng, hosts, begin_s)
    return StopDay(
        hosts,
        grace_s,
        rng.randint(20, 40),
        rng.random() < SPELLS_SHARE,
        tuple(sorted(stops, key=lambda stop: stop.at_s)),
    )


def _draw_series(rng: random.Random, hosts: int, begin_s: float) -> list[Stop]:
    count = hosts - (rng.random() < ONE_STAYS_SHARE)
    stops = []
    for host in rng.sample(range(hosts), count):
        stops.append(
            Stop(host, round(begin_s, 2), round(rng.uniform(0.0, 0.5), 2))
        )
        begin_s += rng.uniform(0.2, 0.65)
    return stops
