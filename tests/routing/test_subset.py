"""Differential test of the subset against a full sort of all hosts."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from walnutport.routing import subset

HOSTS = st.integers(0, 12).map(lambda number: f'host-{number}')
TARGETS = st.integers(0, 30).map(lambda number: f'target-{number}')


def naive_subset(host_id, host_ids, target_ids, size) -> frozenset[str]:
    """Sort all hosts for each target by score."""
    hosts = set(host_ids) | {host_id}
    count = subset.hosts_for_each_target(len(hosts), len(target_ids), size)
    return frozenset(
        target_id
        for target_id in target_ids
        if host_id
        in sorted(
            hosts,
            key=lambda host: subset._mix(
                subset.number_of(host), subset.number_of(target_id)
            ),
            reverse=True,
        )[:count]
    )


class SubsetMachine(stateful.RuleBasedStateMachine):
    """Hosts and targets come and go."""

    def __init__(self) -> None:
        super().__init__()
        self.hosts = {f'host-{number}' for number in range(5)}
        self.targets = {f'target-{number}' for number in range(20)}
        self.size = 8
        self.memories_by_host: dict[str, subset.SubsetCache] = {}

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
        """Guards against a host whose coming moves targets of others."""
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
        """Guards against a target whose coming moves other targets."""
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
        """Change the wanted size."""
        self.size = size
        self.memories_by_host = {}

    @stateful.invariant()
    def agrees_with_sorting(self) -> None:
        """Guards against targets that some hosts miss or add."""
        covered: collections.Counter[str] = collections.Counter()
        for host, chosen in self.subsets().items():
            covered.update(chosen)
            memory = self.memories_by_host.setdefault(
                host, subset.SubsetCache(host, self.size)
            )
            assert chosen == memory.choose(self.hosts, self.targets)
            assert chosen == naive_subset(
                host, self.hosts, self.targets, self.size
            )
        if self.hosts:
            assert set(covered) == self.targets
            assert len(set(covered.values())) <= 1


SubsetMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
TestSubset = SubsetMachine.TestCase
