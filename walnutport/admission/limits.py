"""Share of this host in fleet-wide limits.

Each host owns an equal share of a limit, its base, and lends units that it
does not need to hosts that need more. The lender alone decides on a loan and
reduces its own share before it announces the loan, so two hosts never use the
same unit, even if their views of the fleet differ.

A loan is a lease of ``LEASE_S``. The borrower measures it from the time at
which it sent the demand that the loan answers, on its own clock; the lender
measures it from the receipt of that demand, which is later. The borrower
therefore always stops first, even if messages are lost, delayed or duplicated,
and the clocks need not be synchronised. To reclaim a loan, the lender renews
it for fewer units and waits.

Requests that a borrower still runs when a loan ends are not interrupted. As
long as it receives heartbeats of the borrower, the lender reserves the units
that these requests use.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from walnutport.admission import shares
from walnutport.peer import messages

__all__ = ['FleetLimits', 'LEASE_S']

LEASE_S = 3.0
# The borrower stops granting from a loan this long before its end, so that
# delays in applying shares and short requests end within the lease.
_BORROWER_MARGIN_S = 0.5
# A lender keeps at least its mean usage: with few requests in flight the
# current usage is not representative, and reclaiming a loan takes seconds.
# With ten reports a second the mean follows within about two seconds.
_MEAN_GAIN = 0.05
# A lower mean does not affect loans; the limit then counts as idle.
_IDLE_MEAN_USE = 0.01
# A host that has just joined, and its peers, may not have updated their bases
# yet. Hosts therefore reduce their base immediately, but increase it after the
# loss of a host only after this delay.
_GROWTH_DELAY_S = 2.0


@dataclasses.dataclass(slots=True)
class _Peer:
    """Latest demand of a peer for one limit."""

    demand: messages.LimitDemand
    heard_at: float


@dataclasses.dataclass(slots=True)
class _LentUnits:
    """Units lent to one host.

    :param last_units: units of the latest loan, which requests of the borrower
        may still use.
    :param leases: end and units of each lease, ordered by end.
    """

    last_units: int = 0
    leases: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def renew(self, ends_at: float, units: int) -> None:
        self.leases = [item for item in self.leases if item[1] > units]
        self.leases.append((ends_at, units))
        self.last_units = max(item[1] for item in self.leases)

    def units(self, now: float) -> int:
        self.leases = [item for item in self.leases if item[0] > now]
        return max((units for _, units in self.leases), default=0)


@dataclasses.dataclass(slots=True)
class _Limit:
    """State of one limit.

    The bases of all hosts are cached only while loans need them: with 730
    hosts they take 26 kB per limit.
    """

    limit: int
    own_base: int | None = None
    in_use: int = 0
    waiting: int = 0
    reported_size: int = 0
    mean_in_use: float = 0.0
    bases: Mapping[str, int] | None = None
    peers_by_id: dict[str, _Peer] = dataclasses.field(default_factory=dict)
    lent_by_id: dict[str, _LentUnits] = dataclasses.field(default_factory=dict)
    borrowed_by_id: dict[str, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )


class FleetLimits:
    """Divides fleet-wide limits among hosts by demand.

    :param host_id: id of this host.

    >>> limits = FleetLimits('a')
    >>> limits.hosts_changed({'a', 'b'}, {'a', 'b'}, now=0.0)
    >>> limits.set_limit('entry/e', 10)
    >>> limits.share('entry/e', now=0.0)
    5
    """

    def __init__(self, host_id: str) -> None:
        self._host_id = host_id
        self._sharing_hosts: frozenset[str] = frozenset({host_id})
        self._pending_division: tuple[float, frozenset[str]] | None = None
        self._live: frozenset[str] = frozenset({host_id})
        self._host_update_count = 0
        self._limits_by_key: dict[str, _Limit] = {}

    def set_limit(self, limit_key: str, limit: int) -> None:
        """Set a fleet-wide limit."""
        state = self._limits_by_key.get(limit_key)
        if state is None:
            self._limits_by_key[limit_key] = _Limit(limit)
        elif state.limit != limit:
            state.limit = limit
            state.own_base = state.bases = None

    def drop_limit(self, limit_key: str) -> None:
        """Remove a limit."""
        self._limits_by_key.pop(limit_key, None)

    def set_usage(self, limit_key: str, in_use: int, waiting: int) -> None:
        """Set the units that this host uses and that its tickets wait for."""
        state = self._limits_by_key[limit_key]
        state.in_use, state.waiting = in_use, waiting
        state.mean_in_use += (in_use - state.mean_in_use) * _MEAN_GAIN
        if not in_use and state.mean_in_use < _IDLE_MEAN_USE:
            state.mean_in_use = 0.0

    def is_idle(self, limit_key: str) -> bool:
        """Return whether further reports of zero usage have no effect."""
        state = self._limits_by_key[limit_key]
        return not (state.in_use or state.waiting or state.mean_in_use)

    def hosts_changed(
        self, live: Iterable[str], known: Iterable[str], now: float
    ) -> None:
        """Update the sets of live hosts and of all known hosts.

        The share of a host that is not heard goes to the others only in a
        partition that hears a majority. A minority partition keeps to the
        limit divided by all known hosts, since it cannot tell whether the
        other hosts are down.

        :param live: recently heard hosts.
        :param known: hosts of the platform's list and of heartbeats.
        """
        own_id = {self._host_id}
        self._live = frozenset(live) | own_id
        all_hosts = frozenset(known) | self._live
        majority = 2 * len(self._live) > len(all_hosts)
        new_sharing_hosts = self._live if majority else all_hosts
        bases_grow = len(new_sharing_hosts) < len(self._sharing_hosts)
        if (
            bases_grow
            and self._host_update_count
            and new_sharing_hosts < self._sharing_hosts
        ):
            if (
                self._pending_division is None
                or self._pending_division[1] != new_sharing_hosts
            ):
                self._pending_division = (
                    now + _GROWTH_DELAY_S,
                    new_sharing_hosts,
                )
        else:
            self._divide_among(new_sharing_hosts)
        self._host_update_count += 1
        self._apply_pending_division(now)

    def demands(self, now: float) -> tuple[messages.LimitDemand, ...]:
        """Return this host's demands and loans for its next heartbeat.

        Only limits with demand or loans are included, and once more after
        both have ended.
        """
        self._apply_pending_division(now)
        tick_ms = int(now * 1000)
        demands = []
        for limit_key, state in self._limits_by_key.items():
            loans = self._renew_loans(limit_key, state, now)
            size = state.in_use + state.waiting + len(loans)
            if size or state.reported_size:
                demands.append(
                    messages.LimitDemand(
                        limit_key, state.in_use, state.waiting, tick_ms, loans
                    )
                )
            state.reported_size = size
        return tuple(demands)

    def demands_received(
        self,
        host_id: str,
        demands: Sequence[messages.LimitDemand],
        now: float,
    ) -> None:
        """Process the demands and loans of a peer's heartbeat."""
        for demand in demands:
            state = self._limits_by_key.get(demand.limit_key)
            if state is None or host_id == self._host_id:
                continue
            last = state.peers_by_id.get(host_id)
            if last is not None and now - last.heard_at < LEASE_S:
                if demand.tick_ms <= last.demand.tick_ms:
                    continue
            state.peers_by_id[host_id] = _Peer(demand, now)
            self._accept_loan(state, host_id, demand.loans, now)

    def share(self, limit_key: str, now: float) -> int:
        """Return the units that this host may have in use now."""
        self._apply_pending_division(now)
        state = self._limits_by_key[limit_key]
        base = self._own_base(limit_key, state)
        lent = sum(
            self._reserved_units(limit_key, state, host_id, now)
            for host_id in state.lent_by_id
        )
        return max(0, base - lent) + self._borrowed(state, now)

    def base(self, limit_key: str) -> int:
        """Return the units that this host owns, including lent ones."""
        return self._bases(limit_key, self._limits_by_key[limit_key])[
            self._host_id
        ]

    def _apply_pending_division(self, now: float) -> None:
        if (
            self._pending_division is not None
            and now >= self._pending_division[0]
        ):
            self._divide_among(self._pending_division[1])

    def _divide_among(self, new_sharing_hosts: frozenset[str]) -> None:
        self._pending_division = None
        if new_sharing_hosts != self._sharing_hosts:
            self._sharing_hosts = new_sharing_hosts
            for state in self._limits_by_key.values():
                state.own_base = state.bases = None

    def _own_base(self, limit_key: str, state: _Limit) -> int:
        if state.own_base is None:
            state.own_base = shares.base_share(
                limit_key, state.limit, self._sharing_hosts, self._host_id
            )
        return state.own_base

    def _bases(self, limit_key: str, state: _Limit) -> Mapping[str, int]:
        if state.bases is None:
            state.bases = shares.base_shares(
                limit_key, state.limit, self._sharing_hosts
            )
        return state.bases

    def _borrowed(self, state: _Limit, now: float) -> int:
        return sum(
            units
            for ends_at, units in state.borrowed_by_id.values()
            if now < ends_at
        )

    def _accept_loan(
        self,
        state: _Limit,
        lender: str,
        loans: Sequence[messages.LimitLoan],
        now: float,
    ) -> None:
        state.borrowed_by_id.pop(lender, None)
        for loan in loans:
            ends_at = loan.echo_ms / 1000 + LEASE_S - _BORROWER_MARGIN_S
            # An echo from the future belongs to a previous run of this host,
            # whose clock may have been ahead.
            is_current = loan.echo_ms / 1000 <= now < ends_at
            if loan.host_id == self._host_id and is_current:
                state.borrowed_by_id[lender] = (ends_at, loan.units)

    def _reserved_units(
        self, limit_key: str, state: _Limit, borrower: str, now: float
    ) -> int:
        """Return the units of this host that a borrower may be using."""
        lent = state.lent_by_id[borrower]
        units = lent.units(now)
        peer = state.peers_by_id.get(borrower)
        if peer is None or now - peer.heard_at >= LEASE_S:
            return units
        base = self._bases(limit_key, state).get(borrower, 0)
        # Loans from other hosts also cover the usage of the borrower.
        covered = base + sum(
            loan.units
            for other in state.peers_by_id.values()
            for loan in other.demand.loans
            if loan.host_id == borrower
        )
        return max(units, min(lent.last_units, peer.demand.in_use - covered))

    def _renew_loans(
        self, limit_key: str, state: _Limit, now: float
    ) -> tuple[messages.LimitLoan, ...]:
        if not state.peers_by_id and not state.lent_by_id:
            state.bases = None
            return ()
        bases = self._bases(limit_key, state)
        own_demand = max(
            state.in_use + state.waiting, round(state.mean_in_use)
        )
        demands = {self._host_id: own_demand}
        for host_id, peer in list(state.peers_by_id.items()):
            if now - peer.heard_at >= LEASE_S:
                del state.peers_by_id[host_id]
            else:
                demands[host_id] = peer.demand.in_use + peer.demand.waiting
        # Hosts that are not heard keep their base and are not included.
        heard = {
            host_id: bases[host_id]
            for host_id in bases
            if host_id in self._live or host_id in demands
        }
        planned_loans = shares.plan_loans(sum(heard.values()), demands, heard)
        return self._lend(limit_key, state, planned_loans, now)

    def _lend(
        self,
        limit_key: str,
        state: _Limit,
        planned_loans: Mapping[tuple[str, str], int],
        now: float,
    ) -> tuple[messages.LimitLoan, ...]:
        loans = []
        base = self._own_base(limit_key, state)
        for host_id, peer in state.peers_by_id.items():
            units = planned_loans.get((self._host_id, host_id), 0)
            lent = state.lent_by_id.setdefault(host_id, _LentUnits())
            # Units reserved for other loans cannot be lent again.
            free = base - sum(
                self._reserved_units(limit_key, state, other_id, now)
                for other_id in state.lent_by_id
                if other_id != host_id
            )
            units = min(units, max(0, free))
            if units:
                lent.renew(peer.heard_at + LEASE_S, units)
                loans.append(
                    messages.LimitLoan(host_id, units, peer.demand.tick_ms)
                )
        state.lent_by_id = {
            host_id: lent
            for host_id, lent in state.lent_by_id.items()
            if self._reserved_units(limit_key, state, host_id, now) > 0
        }
        return tuple(loans)
