"""Differential test of the subset choice against a full sort of all hosts."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from walnutport.routing import subset

HOSTS = st.integers(0, 12).map(lambda number: f'host-{number}')
TARGETS = st.integers(0, 30).map(lambda number: f'target-{number}')


def reference_subset(host_id, host_ids, target_ids, size) -> frozenset[str]:
    """Return the subset by sorting all hosts by score for each target."""
    hosts = set(host_ids) | {host_id}
    count = subset.hosts_for_each_target(len(hosts), len(target_ids), size)
    return frozenset(
        target_id
        for target_id in target_ids
        if host_id
        in sorted(
            hosts,
            key=lambda host: subset._mix(
                subset.hash_name(host), subset.hash_name(target_id)
            ),
            reverse=True,
        )[:count]
    )


class SubsetMachine(stateful.RuleBasedStateMachine):
    """Hosts and targets join and leave."""

    def __init__(self) -> None:
        super().__init__()
        self.hosts = {f'host-{number}' for number in range(5)}
        self.targets = {f'target-{number}' for number in range(20)}
        self.size = 8
        self.caches_by_host: dict[str, subset.SubsetCache] = {}

    def subsets(self) -> dict[str, frozenset[str]]:
        """Return the subset of each host."""
        return {
            host: subset.choose_subset(
                host, self.hosts, self.targets, self.size
            )
            for host in self.hosts
        }

    @stateful.rule(host=HOSTS)
    def host_changes(self, host: str) -> None:
        """Guards against a join or leave that moves targets between others."""
        before = self.subsets()
        joins = host not in self.hosts
        self.hosts ^= {host}
        count = subset.hosts_for_each_target
        targets = len(self.targets)
        if count(len(before), targets, self.size) != count(
            len(self.hosts), targets, self.size
        ):
            return
        after = self.subsets()
        for other in before.keys() & after.keys():
            gained = after[other] - before[other]
            lost = before[other] - after[other]
            assert not (gained if joins else lost)

    @stateful.rule(changed=TARGETS)
    def target_changes(self, changed: str) -> None:
        """Guards against a join or leave that moves other targets."""
        before = self.subsets()
        old = len(self.targets)
        self.targets ^= {changed}
        count = subset.hosts_for_each_target
        hosts = len(self.hosts)
        if count(hosts, old, self.size) == count(
            hosts, len(self.targets), self.size
        ):
            for host, chosen in self.subsets().items():
                assert chosen ^ before[host] <= {changed}

    @stateful.rule(size=st.integers(1, 40))
    def size_changes(self, size: int) -> None:
        """Change the mean subset size."""
        self.size = size
        self.caches_by_host = {}

    @stateful.invariant()
    def subsets_match_reference(self) -> None:
        """Guards against subsets that differ from the reference.

        Also checks that every target has the same count of hosts.
        """
        covered: collections.Counter[str] = collections.Counter()
        for host, chosen in self.subsets().items():
            covered.update(chosen)
            cache = self.caches_by_host.setdefault(
                host, subset.SubsetCache(host, self.size)
            )
            assert chosen == cache.choose(self.hosts, self.targets)
            assert chosen == reference_subset(
                host, self.hosts, self.targets, self.size
            )
        if self.hosts:
            assert set(covered) == self.targets
            assert len(set(covered.values())) <= 1


SubsetMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
TestSubset = SubsetMachine.TestCase
