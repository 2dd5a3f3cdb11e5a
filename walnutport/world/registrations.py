"""Targets as they register themselves."""

import dataclasses

__all__ = ['RegisteredTarget']


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredTarget:
    """One lifetime of a target.

    :param target_id: name under which it registers; a restarted target may
        keep it.
    :param incarnation: start of this lifetime, in Unix milliseconds; 0 when
        the target does not say.
    :param address: IP address and port.
    :param draining: whether it leaves and takes no new work.
    :param slots: requests that it runs at the same time.
    :param cold_s: seconds for which it stays slow after its start.
    """

    target_id: str
    incarnation: int
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    draining: bool
    warmup_s: float

    @property
    def lifetime(self) -> tuple[str, int, tuple[str, int]]:
        """What identifies this start of the target."""
        return (self.target_id, self.incarnation, self.address)
