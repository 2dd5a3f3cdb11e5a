"""Decision on a request by the parts of its prompt."""

import dataclasses

__all__ = ['PartDecision']


@dataclasses.dataclass(frozen=True, slots=True)
class PartDecision:
    """Whether a request may be sent, by the parts of its prompt.

    :param blocked_by: quarantined part because of which the request is
        refused; empty if it may be sent.
    :param probes: quarantined parts that the request would probe.
    :param deaths: number of deaths that speak against ``blocked_by``.
    :param retry_after_s: time until the next probe of ``blocked_by``.
    """

    blocked_by: str = ''
    probes: tuple[str, ...] = ()
    deaths: int = 0
    retry_after_s: float = 0.0
