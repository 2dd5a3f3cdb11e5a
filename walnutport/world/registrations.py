"""Entries with which targets register themselves."""

import dataclasses

__all__ = ['UNKNOWN_VERSION', 'RegisteredTarget']

#: Stands for the software version of a run whose entry nobody has read. No
#: target has it: an entry that contains this text counts as invalid.
UNKNOWN_VERSION = 'invalid/unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredTarget:
    """Registration of one run of a target process.

    :param target_id: id under which it registers; a restarted target may
        keep it.
    :param incarnation: start of this run in Unix milliseconds; 0 if the
        target does not publish it.
    :param address: IP address and port.
    :param draining: whether it is shutting down and accepts no new work.
    :param slots: requests that it can run at the same time.
    :param warmup_s: seconds for which it stayed cold when it wrote the entry;
        None if it does not say.
    :param sequence: count of the entries that this run has written, so that
        of two entries the later one is known.
    :param software_version: version of the software of this run, which has no
        order; what two versions write does not fit together. Empty if the
        target does not publish it.
    :param warmup_problem: description of an invalid cold time, which counts as
        none; empty if it is valid.
    """

    target_id: str
    incarnation: int
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    draining: bool
    warmup_s: float | None
    sequence: int = 0
    software_version: str = ''
    warmup_problem: str = ''

    @property
    def incarnation_key(self) -> tuple[str, int, tuple[str, int]]:
        """Key that identifies this run of the target process."""
        return (self.target_id, self.incarnation, self.address)
