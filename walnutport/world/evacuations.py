"""Evacuations of data centres that the operator asks for."""

import dataclasses

__all__ = ['EvacuationRecord']


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """Latest request of the operator about one data centre.

    :param is_evacuated: whether its targets get no new work; otherwise an
        evacuation was taken back.
    :param offset: offset of the record in the feed of the desired state; it
        orders the requests of one era of the store.
    :param age_s: seconds since the record was first read by any host.
    """

    data_centre: str
    is_evacuated: bool
    offset: int
    age_s: float = 0.0
