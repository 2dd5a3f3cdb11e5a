"""Permits to send single requests to a cold target, for both sides.

Covers waves of requests that meet a few cold targets, at one host or spread
over all hosts: the target crashes if the hosts together exceed its rate, and
callers are refused for nothing if the hosts leave the rate unused. One host
issues all permits for a target. A permit is for one request and ends a fixed
time after it was asked for, by the clock of the host that asked, so that late
messages and paused hosts permit nothing.
"""

import dataclasses
import itertools
import math

__all__ = [
    'PERMIT_S',
    'Ask',
    'IssuerDecision',
    'OfferPacer',
    'PermitHolder',
    'PermitIssuer',
    'SendPermit',
    'WaiterEnd',
    'permit_rate',
]

#: A permit ends this long after it was asked for.
PERMIT_S = 0.1
# Permits that may come at once, and issuers that may exist at a time while
# hosts see the fleet differently.
PERMIT_BURST = 1
MAX_ISSUERS = 2
# The issuer holds a reply until the slot of its permit if that is this close,
# and hosts ask so long before their place, as messages take milliseconds.
MAX_HOLD_S = 0.03
ASK_LEAD_S = 0.025
# A place ends this long after its time: its host has left or was delayed.
PLACE_GRACE_S = 0.05
# Time until a host asks again that got no reply, or that knows no issuer: a
# lost link is noticed and the cell moves within about a second.
RETRY_S = 0.1
NO_ISSUER_RETRY_S = 0.3
# Lines of targets that nobody has asked for are dropped after this time.
IDLE_LINE_S = 10.0


def permit_rate(
    per_s: float, bound_per_s: float, burst: int = PERMIT_BURST
) -> float:
    """Return the permits a second of one issuer.

    The arrivals of one second were permitted within that second and the time
    for which a permit is valid.

    :param per_s: requests a second that a target sustains.
    :param bound_per_s: requests that it may receive in any second.
    :param burst: requests that may come at once.
    :returns: 0 if the bound leaves no room.
    """
    rate = (bound_per_s / MAX_ISSUERS - burst) / (1.0 + PERMIT_S)
    return max(0.0, min(per_s, rate))


@dataclasses.dataclass(frozen=True, slots=True)
class IssuerDecision:
    """Reply of the issuer.

    :param delay_s: time until the permit may be told if it is granted, or
        until the next one or the place of the host if not.
    """

    is_granted: bool
    delay_s: float


@dataclasses.dataclass(slots=True)
class _Line:
    """Slots and places of one target.

    :param next_at: earliest time of the next permit.
    :param place_by_host: times for which hosts were asked to come back.
    """

    next_at: float = -math.inf
    asked_at: float = -math.inf
    place_by_host: dict[str, float] = dataclasses.field(default_factory=dict)


class PermitIssuer:
    """Issues the permits of the targets that fall to this host.

    :ivar issued_count: permits that were granted.
    :ivar denied_count: requests for permits that were denied.
    """

    def __init__(self) -> None:
        self._line_by_id: dict[str, _Line] = {}
        self.issued_count = 0
        self.denied_count = 0

    def request(
        self,
        target_id: str,
        host: str,
        wait_s: float,
        rate: float,
        now: float,
    ) -> IssuerDecision:
        """Decide on a request for a permit.

        :param wait_s: how long the host can wait for a permit.
        :param rate: permits a second, see ``permit_rate``.
        """
        if rate <= 0:
            return self.deny(1.0)
        line = self._line_by_id.setdefault(target_id, _Line())
        line.asked_at = now
        for name, place_at in list(line.place_by_host.items()):
            if place_at + PLACE_GRACE_S < now:
                del line.place_by_host[name]
        at = self._next_slot(line, host, 1 / rate, now)
        delay_s = at - now
        if delay_s <= MAX_HOLD_S:
            line.place_by_host.pop(host, None)
            line.next_at = at + 1 / rate
            self.issued_count += 1
            return IssuerDecision(True, delay_s)
        if delay_s <= wait_s:
            line.place_by_host[host] = at
        else:
            line.place_by_host.pop(host, None)
        return self.deny(delay_s)

    def deny(self, retry_after_s: float) -> IssuerDecision:
        """Return a denial, and count it."""
        self.denied_count += 1
        return IssuerDecision(False, retry_after_s)

    def drop_idle(self, now: float) -> None:
        """Forget the targets that nobody has asked for lately."""
        for target_id, line in list(self._line_by_id.items()):
            if line.asked_at + IDLE_LINE_S < now:
                del self._line_by_id[target_id]

    @staticmethod
    def _next_slot(
        line: _Line, host: str, interval_s: float, now: float
    ) -> float:
        """Return the time of the next permit for a host."""
        at = max(now, line.next_at)
        place_at = line.place_by_host.get(host)
        if place_at is not None:
            return max(at, place_at)
        places = line.place_by_host.values()
        if places and at + interval_s > min(places):
            at = max(at, max(places) + interval_s)
        return at


@dataclasses.dataclass(frozen=True, slots=True)
class SendPermit:
    """Permit to send one request to a target.

    :param ends_at: time from which it permits nothing.
    """

    target_id: str
    ends_at: float

    def is_valid(self, target_id: str, now: float) -> bool:
        """Return whether a request may be sent now."""
        return target_id == self.target_id and now < self.ends_at


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Request for a permit that is to be sent to the issuer."""

    number: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WaiterEnd:
    """End of the wait of a request.

    :param permit: None if the request is denied.
    :param retry_after_s: time until the next permit if it is denied.
    :param is_warm: whether no permit is needed any more.
    """

    waiter: int
    permit: SendPermit | None = None
    retry_after_s: float = 0.0
    is_warm: bool = False


class PermitHolder:
    """Requests of this host that wait for permits for one target.

    They are served in the order of their arrival, and at most one request for
    a permit is on its way to the issuer.

    :param rate: permits a second of the issuer.
    :ivar expired_count: permits that came too late.
    """

    def __init__(self, target_id: str, rate: float) -> None:
        self._target_id = target_id
        self._min_interval_s = 1 / rate if rate > 0 else 1.0
        # Expected time between two permits of this host, which is longer
        # while other hosts wait as well.
        self._interval_s = self._min_interval_s
        self._has_place = False
        # When each request gives up if no permit has come.
        self._give_up_at_by_waiter: dict[int, float] = {}
        # Until when a permit may be due; a request that cannot wait awaits the
        # reply of the issuer all the same.
        self._latest_by_waiter: dict[int, float] = {}
        self._numbers = itertools.count(1)
        # Number and time of the request for a permit that has no reply yet.
        self._asked: tuple[int, float] | None = None
        # When the next permit is due, as the issuer has told, and when this
        # host asks for it.
        self._due_at = -math.inf
        self._ask_at = -math.inf
        self.expired_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request waits."""
        return not self._give_up_at_by_waiter

    def expected_wait_s(self, now: float) -> float:
        """Return the time until a permit for one more request is due."""
        waiting = len(self._give_up_at_by_waiter)
        if not waiting:
            return max(0.0, self._due_at - now)
        return max(0.0, self._due_at - now) + waiting * self._interval_s

    def add(self, waiter: int, wait_s: float, now: float) -> WaiterEnd | None:
        """Let a request wait for a permit.

        :param wait_s: how long it can wait besides the time for the reply.
        :returns: a denial at once if the wait would take longer.
        """
        expected_s = self.expected_wait_s(now)
        if expected_s > max(wait_s, ASK_LEAD_S):
            return WaiterEnd(waiter, None, expected_s)
        self._give_up_at_by_waiter[waiter] = now + max(wait_s, PERMIT_S)
        self._latest_by_waiter[waiter] = now + wait_s
        return None

    def remove(self, waiter: int) -> None:
        """Remove a request whose caller has left."""
        self._give_up_at_by_waiter.pop(waiter, None)
        self._latest_by_waiter.pop(waiter, None)

    def take_all(self) -> list[int]:
        """Remove and return the requests that wait."""
        waiters = list(self._give_up_at_by_waiter)
        self._give_up_at_by_waiter.clear()
        self._latest_by_waiter.clear()
        return waiters

    def next_ask(self, now: float) -> Ask | None:
        """Return the request for a permit that is due to be sent."""
        if self._asked is not None or not self._give_up_at_by_waiter:
            return None
        if now < self._ask_at:
            return None
        number = next(self._numbers)
        self._asked = (number, now)
        first = next(iter(self._latest_by_waiter.values()))
        return Ask(number, max(0.0, first - now))

    def replied(
        self, number: int, is_granted: bool, retry_after_s: float, now: float
    ) -> WaiterEnd | None:
        """Record a reply; return the request that may be sent.

        A reply to another request than the last one permits nothing.
        """
        if self._asked is None or self._asked[0] != number:
            self.expired_count += is_granted
            return None
        ends_at = self._asked[1] + PERMIT_S
        self._asked = None
        if not is_granted:
            if not self._has_place:
                self._interval_s = max(self._min_interval_s, retry_after_s)
            self._has_place = True
            self._denied(now + max(0.0, retry_after_s), now)
            return None
        if not self._has_place:
            self._interval_s = self._min_interval_s
        self._has_place = False
        self._due_at = now + self._interval_s
        self._ask_at = now
        if now >= ends_at or not self._give_up_at_by_waiter:
            self.expired_count += 1
            return None
        waiter = next(iter(self._give_up_at_by_waiter))
        self.remove(waiter)
        return WaiterEnd(waiter, SendPermit(self._target_id, ends_at))

    def no_issuer(self, now: float) -> None:
        """Record that the last request for a permit reached no issuer."""
        self._asked = None
        self._denied(now + NO_ISSUER_RETRY_S, now)

    def take_denied(self, now: float) -> list[WaiterEnd]:
        """Remove and return the requests that would wait too long."""
        if self._asked is not None and now >= self._asked[1] + PERMIT_S:
            self._asked = None
            self._denied(now + RETRY_S, now)
        denied: list[WaiterEnd] = []
        due_at = max(self._due_at, now)
        for waiter, give_up_at in list(self._give_up_at_by_waiter.items()):
            is_late = due_at > self._latest_by_waiter[waiter] + ASK_LEAD_S
            if now >= give_up_at or self._asked is None and is_late:
                self.remove(waiter)
                denied.append(WaiterEnd(waiter, None, due_at - now))
            else:
                due_at += self._interval_s
        return denied

    def wake_at(self) -> float:
        """Return when there is something to do, infinity without a wait."""
        if not self._give_up_at_by_waiter:
            return math.inf
        give_up_at = min(self._give_up_at_by_waiter.values())
        if self._asked is not None:
            return min(give_up_at, self._asked[1] + PERMIT_S)
        return min(give_up_at, self._ask_at)

    def _denied(self, due_at: float, now: float) -> None:
        self._due_at = due_at
        self._ask_at = max(now + 0.01, due_at - ASK_LEAD_S)


class OfferPacer:
    """Offers requests that could go elsewhere to cold targets as well.

    A cold target takes a small part of the requests. Without a pace, the
    choice among targets would prefer it, as it is idle, and each request would
    have to ask for a permit first.
    """

    def __init__(self) -> None:
        self._next_at_by_id: dict[str, float] = {}

    def is_due(self, target_id: str, now: float) -> bool:
        """Return whether a request may be offered to a target."""
        return now >= self._next_at_by_id.get(target_id, -math.inf)

    def record(self, target_id: str, interval_s: float, now: float) -> None:
        """Record that a request is offered to a target.

        :param interval_s: time until the next one may be.
        """
        self._next_at_by_id[target_id] = now + interval_s

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target."""
        self._next_at_by_id.pop(target_id, None)
