"""Share of this host in the limits of the fleet.

Each host owns an equal share of a limit, its base, and lends what it does
not need to hosts that need more. The lender alone decides on a loan and
reduces its own share before it announces it, so two hosts never count on the
same unit, however different their views are.

A loan is a lease of ``LEASE_S``. The borrower counts it from the moment at
which it sent the demand that the loan answers, on its own clock; the lender
counts it from the receipt of that demand, which is later. So the borrower
always stops first, whatever is lost, late or repeated, and clocks need not
agree. Taking back a loan means to renew it for less and to wait.

Requests that a borrower runs when a loan ends are not interrupted. While
the borrower is heard, the lender holds back the units that it still uses.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from walnutport.admission import shares
from walnutport.peer import messages

__all__ = ['FleetLimits', 'LEASE_S']

LEASE_S = 3.0
# The borrower stops to grant from a loan this much earlier, so that shares
# that are applied a little late and short requests end within the lease.
_GRACE_S = 0.5
# A lender keeps at least its mean use: with a few requests in flight the use
# at one moment says little, and it takes seconds to take a loan back. With
# ten reports a second the mean follows within about two seconds.
_MEAN_STEP = 0.05
# A lower mean makes no difference to the loans; the limit then counts as idle.
_IDLE_MEAN = 0.01
# A host that just appeared in the view may not know its own base yet, and
# its peers not theirs; the others give up their part at once and take up
# the part of a lost host only after this time.
_GROWTH_DELAY_S = 2.0


@dataclasses.dataclass(slots=True)
class _Peer:
    """Last demand of a peer for one limit."""

    demand: messages.LimitDemand
    heard_at: float


@dataclasses.dataclass(slots=True)
class _Lent:
    """Units lent to one host, until when; later items end later.

    :param last: units of the last loan, which its requests may still use.
    """

    last: int = 0
    leases: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def renew(self, ends_at: float, units: int) -> None:
        self.leases = [item for item in self.leases if item[1] > units]
        self.leases.append((ends_at, units))
        self.last = max(item[1] for item in self.leases)

    def units(self, now: float) -> int:
        self.leases = [item for item in self.leases if item[0] > now]
        return max((units for _, units in self.leases), default=0)


@dataclasses.dataclass(slots=True)
class _Limit:
    """A limit and what is known of its use.

    The shares of all hosts are kept only while loans need them: with 730
    hosts they take 26 kB for each limit.
    """

    limit: int
    own_base: int | None = None
    in_use: int = 0
    waiting: int = 0
    reported: int = 0
    mean_in_use: float = 0.0
    bases: Mapping[str, int] | None = None
    peers_by_id: dict[str, _Peer] = dataclasses.field(default_factory=dict)
    lent_by_id: dict[str, _Lent] = dataclasses.field(default_factory=dict)
    borrowed_by_id: dict[str, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )


class FleetLimits:
    """Divides fleet limits among hosts by demand.

    :param host_id: id of this host.

    >>> limits = FleetLimits('a')
    >>> limits.hosts_changed({'a', 'b'}, {'a', 'b'}, now=0.0)
    >>> limits.set_limit('entry/e', 10)
    >>> limits.share('entry/e', now=0.0)
    5
    """

    def __init__(self, host_id: str) -> None:
        self._host_id = host_id
        self._divisors: frozenset[str] = frozenset({host_id})
        self._pending: tuple[float, frozenset[str]] | None = None
        self._live: frozenset[str] = frozenset({host_id})
        self._views = 0
        self._limits_by_key: dict[str, _Limit] = {}

    def set_limit(self, limit_key: str, limit: int) -> None:
        """Set a limit over the whole fleet."""
        found = self._limits_by_key.get(limit_key)
        if found is None:
            self._limits_by_key[limit_key] = _Limit(limit)
        elif found.limit != limit:
            found.limit = limit
            found.own_base = found.bases = None

    def drop_limit(self, limit_key: str) -> None:
        """Forget a limit."""
        self._limits_by_key.pop(limit_key, None)

    def set_usage(self, limit_key: str, in_use: int, waiting: int) -> None:
        """Set this host's demand for a limit."""
        found = self._limits_by_key[limit_key]
        found.in_use, found.waiting = in_use, waiting
        found.mean_in_use += (in_use - found.mean_in_use) * _MEAN_STEP
        if not in_use and found.mean_in_use < _IDLE_MEAN:
            found.mean_in_use = 0.0

    def is_idle(self, limit_key: str) -> bool:
        """Return whether further reports of no use would change nothing."""
        found = self._limits_by_key[limit_key]
        return not (found.in_use or found.waiting or found.mean_in_use)

    def hosts_changed(
        self, live: Iterable[str], known: Iterable[str], now: float
    ) -> None:
        """Take note of the hosts that are heard and of all that exist.

        The share of a host that is not heard goes to the others only on
        the side that hears a majority; a smaller part keeps to limit /
        known hosts, since it cannot tell whether the others are dead.

        :param live: hosts heard lately.
        :param known: hosts of the platform's list and of heartbeats.
        """
        me = {self._host_id}
        self._live = frozenset(live) | me
        everyone = frozenset(known) | self._live
        majority = 2 * len(self._live) > len(everyone)
        divisors = self._live if majority else everyone
        grows = len(divisors) < len(self._divisors)
        if grows and self._views and divisors < self._divisors:
            if self._pending is None or self._pending[1] != divisors:
                self._pending = (now + _GROWTH_DELAY_S, divisors)
        else:
            self._divide_among(divisors)
        self._views += 1
        self._settle(now)

    def demands(self, now: float) -> tuple[messages.LimitDemand, ...]:
        """Return this host's demands and loans for its next heartbeat.

        Only limits with demand or loans are named, and once more when both
        have ended.
        """
        self._settle(now)
        tick_ms = int(now * 1000)
        made = []
        for limit_key, found in self._limits_by_key.items():
            loans = self._renew_loans(limit_key, found, now)
            size = found.in_use + found.waiting + len(loans)
            if size or found.reported:
                made.append(
                    messages.LimitDemand(
                        limit_key, found.in_use, found.waiting, tick_ms, loans
                    )
                )
            found.reported = size
        return tuple(made)

    def on_demands(
        self,
        host_id: str,
        demands: Sequence[messages.LimitDemand],
        now: float,
    ) -> None:
        """Take the demands and loans of a peer's heartbeat."""
        for demand in demands:
            found = self._limits_by_key.get(demand.limit_key)
            if found is None or host_id == self._host_id:
                continue
            last = found.peers_by_id.get(host_id)
            if last is not None and now - last.heard_at < LEASE_S:
                if demand.tick_ms <= last.demand.tick_ms:
                    continue
            found.peers_by_id[host_id] = _Peer(demand, now)
            self._take_loan(found, host_id, demand.loans, now)

    def share(self, limit_key: str, now: float) -> int:
        """Return the units that this host may have in use now."""
        self._settle(now)
        found = self._limits_by_key[limit_key]
        base = self._own_base(limit_key, found)
        lent = sum(
            self._held_back(limit_key, found, host_id, now)
            for host_id in found.lent_by_id
        )
        return max(0, base - lent) + self._borrowed(found, now)

    def base(self, limit_key: str) -> int:
        """Return the units that this host owns, lent or not."""
        return self._bases(limit_key, self._limits_by_key[limit_key])[
            self._host_id
        ]

    def _settle(self, now: float) -> None:
        if self._pending is not None and now >= self._pending[0]:
            self._divide_among(self._pending[1])

    def _divide_among(self, divisors: frozenset[str]) -> None:
        self._pending = None
        if divisors != self._divisors:
            self._divisors = divisors
            for found in self._limits_by_key.values():
                found.own_base = found.bases = None

    def _own_base(self, limit_key: str, found: _Limit) -> int:
        if found.own_base is None:
            found.own_base = shares.base_share(
                limit_key, found.limit, self._divisors, self._host_id
            )
        return found.own_base

    def _bases(self, limit_key: str, found: _Limit) -> Mapping[str, int]:
        if found.bases is None:
            found.bases = shares.base_shares(
                limit_key, found.limit, self._divisors
            )
        return found.bases

    def _borrowed(self, found: _Limit, now: float) -> int:
        return sum(
            units
            for ends_at, units in found.borrowed_by_id.values()
            if now < ends_at
        )

    def _take_loan(
        self,
        found: _Limit,
        lender: str,
        loans: Sequence[messages.LimitLoan],
        now: float,
    ) -> None:
        found.borrowed_by_id.pop(lender, None)
        for loan in loans:
            ends_at = loan.echo_ms / 1000 + LEASE_S - _GRACE_S
            # An echo from the future belongs to an earlier life of this
            # host, whose clock may have been ahead.
            is_current = loan.echo_ms / 1000 <= now < ends_at
            if loan.host_id == self._host_id and is_current:
                found.borrowed_by_id[lender] = (ends_at, loan.units)

    def _held_back(
        self, limit_key: str, found: _Limit, borrower: str, now: float
    ) -> int:
        """Return the units of this host that a borrower may be using."""
        lent = found.lent_by_id[borrower]
        units = lent.units(now)
        peer = found.peers_by_id.get(borrower)
        if peer is None or now - peer.heard_at >= LEASE_S:
            return units
        base = self._bases(limit_key, found).get(borrower, 0)
        # What other hosts lend to the borrower covers its use as well.
        covered = base + sum(
            loan.units
            for other in found.peers_by_id.values()
            for loan in other.demand.loans
            if loan.host_id == borrower
        )
        return max(units, min(lent.last, peer.demand.in_use - covered))

    def _renew_loans(
        self, limit_key: str, found: _Limit, now: float
    ) -> tuple[messages.LimitLoan, ...]:
        if not found.peers_by_id and not found.lent_by_id:
            found.bases = None
            return ()
        bases = self._bases(limit_key, found)
        own = max(found.in_use + found.waiting, round(found.mean_in_use))
        demands = {self._host_id: own}
        for host_id, peer in list(found.peers_by_id.items()):
            if now - peer.heard_at >= LEASE_S:
                del found.peers_by_id[host_id]
            else:
                demands[host_id] = peer.demand.in_use + peer.demand.waiting
        # Hosts that are not heard keep their base and take no part.
        heard = {
            host_id: bases[host_id]
            for host_id in bases
            if host_id in self._live or host_id in demands
        }
        wanted = shares.plan_loans(sum(heard.values()), demands, heard)
        return self._lend(limit_key, found, wanted, now)

    def _lend(
        self,
        limit_key: str,
        found: _Limit,
        wanted: Mapping[tuple[str, str], int],
        now: float,
    ) -> tuple[messages.LimitLoan, ...]:
        loans = []
        base = self._own_base(limit_key, found)
        for host_id, peer in found.peers_by_id.items():
            units = wanted.get((self._host_id, host_id), 0)
            lent = found.lent_by_id.setdefault(host_id, _Lent())
            # What other loans still hold cannot be lent again.
            free = base - sum(
                self._held_back(limit_key, found, other_id, now)
                for other_id in found.lent_by_id
                if other_id != host_id
            )
            units = min(units, max(0, free))
            if units:
                lent.renew(peer.heard_at + LEASE_S, units)
                loans.append(
                    messages.LimitLoan(host_id, units, peer.demand.tick_ms)
                )
        found.lent_by_id = {
            host_id: lent
            for host_id, lent in found.lent_by_id.items()
            if self._held_back(limit_key, found, host_id, now) > 0
        }
        return tuple(loans)
