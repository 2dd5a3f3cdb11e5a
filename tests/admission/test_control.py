"""Differential test of admission control, which skips idle entries."""

import hypothesis
from hypothesis import strategies as st

from walnutport.admission import control
from walnutport import interfaces
from walnutport.peer import messages
from walnutport import world

_ENTRIES = ('a', 'b', 'c', 'd')
_HOSTS = ('me', 'peer', 'third')
_PIPELINES = {
    'p': world.Pipeline('p', (world.Stage('s', 'engine'),)),
    'q': world.Pipeline(
        'q', (world.Stage('r', 'encoder'), world.Stage('s', 'engine'))
    ),
}
_LOAN = st.tuples(st.integers(0, 4), st.integers(0, 3))
_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('offer'), st.sampled_from(_ENTRIES)),
        st.tuples(st.just('release'), st.integers(0, 9)),
        st.tuples(st.just('held'), st.sampled_from(_ENTRIES)),
        st.tuples(st.just('advance'), st.sampled_from((0.05, 0.3, 2.0, 6.0))),
        st.tuples(st.just('demands'), _LOAN),
        st.tuples(st.just('hosts'), st.integers(1, 3)),
        st.tuples(
            st.just('catalogue'),
            st.dictionaries(
                st.sampled_from(_ENTRIES),
                st.tuples(st.integers(0, 9), st.sampled_from('pq')),
            ),
        ),
    ),
    max_size=60,
)


class _FullScanControl(control.AdmissionControl):
    """Reports and adjusts every entry each time, idle ones included."""

    def _report_usage(self) -> None:
        self._active_entries = dict.fromkeys(self._contracts_by_id)
        super()._report_usage()
        self._active_entries = dict.fromkeys(self._contracts_by_id)

    def _representative_entries(self, now):
        return [
            (contract, self._pipelines_by_id[contract.pipeline_id])
            for contract in self._contracts_by_id.values()
        ]


class _Run:
    """Drives one admission control and records its decisions and demands."""

    def __init__(self, admission: control.AdmissionControl) -> None:
        self.admission = admission
        self.now, self.ticket_count = 1.0, 0
        self.running: list[str] = []
        self.observed: list = []
        address = world.Address('127.0.0.1', 1)
        admission.targets_changed(
            {
                name: world.Target(name, name, 'dc', address, 3)
                for name in ('engine', 'encoder')
            },
            self.now,
        )
        self.hosts(3)
        self.catalogue(dict.fromkeys(_ENTRIES, (5, 'p')))

    def offer(self, entry_id: str) -> None:
        self.ticket_count += 1
        ticket = interfaces.Ticket(
            f't{self.ticket_count}', entry_id, 'm', 'c', self.now + 4.0
        )
        self._record([self.admission.entry_queue.offer(ticket, self.now)])

    def release(self, index: int) -> None:
        if index < len(self.running):
            ticket_id = self.running.pop(index)
            self._record(
                self.admission.entry_queue.release(ticket_id, self.now)
            )

    def held(self, entry_id: str) -> None:
        for _ in range(8):
            self.admission.record_stage_time(
                entry_id, 's', 0.0, 0.1 * ord(entry_id), self.now
            )

    def advance(self, step_s: float) -> None:
        self.now += step_s
        self.admission.advance(self.now)
        self._record(self.admission.entry_queue.advance(self.now))
        self.observed.append(self.admission.demands(self.now))
        for key in ('window/engine', 'window/encoder'):
            self.observed.append(self.admission.entry_queue.capacity(key))

    def demands(self, loan: tuple[int, int]) -> None:
        tick_ms = int(self.now * 1000)
        units, in_use = loan
        loans = (messages.LimitLoan('me', units, tick_ms),) if units else ()
        demand = messages.LimitDemand('entry/a', in_use, 9, tick_ms, loans)
        self.admission.demands_received('peer', [demand], self.now)

    def hosts(self, live: int) -> None:
        self.admission.hosts_changed(_HOSTS[:live], _HOSTS, self.now)
        self.advance(0.0)

    def catalogue(self, limits: dict[str, tuple[int, str]]) -> None:
        contracts = {
            entry_id: world.Contract(
                entry_id,
                'm',
                'c',
                pipeline,
                world.ContractLimits(max_in_flight=limit),
            )
            for entry_id, (limit, pipeline) in limits.items()
        }
        self.admission.catalogue_changed(contracts, _PIPELINES, {}, {})
        self.advance(0.0)

    def _record(self, decisions) -> None:
        self.observed += decisions
        self.running += [
            decision.ticket_id
            for decision in decisions
            if decision.kind is interfaces.DecisionKind.GRANTED
        ]


@hypothesis.example(
    steps=[
        ('catalogue', {'a': (0, 'p')}),
        ('catalogue', {}),
        ('offer', 'a'),
    ]
)
@hypothesis.given(_STEPS)
def test_idle_entries_make_no_difference(steps) -> None:
    """Guards against applying an outdated share to an entry that was idle."""
    optimised = _Run(control.AdmissionControl('me', 20))
    full_scan = _Run(_FullScanControl('me', 20))
    for name, value in steps:
        for run in (optimised, full_scan):
            getattr(run, name)(value)
        assert optimised.observed == full_scan.observed, (name, value)
