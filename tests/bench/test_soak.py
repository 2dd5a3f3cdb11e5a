"""The soak seed determines the inputs of every kind of Hypothesis test."""

import os
import pathlib

from bench import soak

_PROBE = """
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st


class Machine(stateful.RuleBasedStateMachine):
    @stateful.rule(number=st.integers(0, 1 << 62))
    def draw(self, number):
        with open(OUTPUT, 'a') as output:
            output.write(f'{KIND} {number}\\n')


KIND = 'case'
TestMachine = Machine.TestCase
TestMachine.settings = hypothesis.settings(
    max_examples=3, stateful_step_count=3
)


def test_with_settings_of_its_own():
    global KIND
    KIND = 'function'
    settings = hypothesis.settings(max_examples=3, stateful_step_count=3)
    stateful.run_state_machine_as_test(Machine, settings=settings)
    assert PASSES
"""


def test_seeds(tmp_path: pathlib.Path, monkeypatch) -> None:
    """Guards against rounds that use the CI seed or cannot be reproduced."""
    root = pathlib.Path(soak.__file__).parent.parent
    conftest = (root / 'tests' / 'conftest.py').read_text()
    (tmp_path / 'conftest.py').write_text(conftest)
    monkeypatch.chdir(tmp_path)
    for name in [name for name in os.environ if name.startswith('PYTEST')]:
        monkeypatch.delenv(name)
    drawn: dict[str, list] = {'case': [], 'function': []}
    for number, seed in enumerate((11, 12, 11)):
        output = tmp_path / f'drawn-{number}'
        probe = f'OUTPUT = {str(output)!r}\nPASSES = {seed == 11}\n{_PROBE}'
        (tmp_path / 'test_probe.py').write_text(probe)
        passed = soak._run_round(seed, ['test_probe.py'])
        assert passed == (seed == 11)
        lines = output.read_text().splitlines()
        for kind, runs in drawn.items():
            runs.append(sorted(ln for ln in lines if ln.startswith(kind)))
    for first_run, other_seed, repeated_run in drawn.values():
        assert first_run == repeated_run != other_seed
