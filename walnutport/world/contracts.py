"""Members, service classes, pipelines, and contracts that use them."""

import dataclasses

__all__ = [
    'Contract',
    'ContractLimits',
    'Member',
    'Pipeline',
    'ServiceClass',
    'Stage',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A firm or team that sends requests.

    :param token_digests: SHA-256 hex digests of its valid bearer tokens.
    :param weight: share of capacity relative to other members of a class.
    """

    member_id: str
    token_digests: tuple[str, ...]
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceClass:
    """Class of contracts that gets a share of the capacity.

    :param weight: share of capacity relative to other classes.
    """

    class_id: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ContractLimits:
    """Limits of a contract over the whole fleet.

    :param max_in_flight: maximum number of admitted requests in progress.
    """

    max_in_flight: int = 100
    max_body_bytes: int = 262_144
    deadline_ms: int = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """One step of a pipeline.

    :param repeatable: whether the stage may run more than once.
    :param streams: whether the response of the target is an event stream.
    :param model: name of the model for an engine, otherwise empty.
    """

    name: str
    service: str
    repeatable: bool = True
    streams: bool = False
    model: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Pipeline:
    """Stages that run one after another."""

    pipeline_id: str
    stages: tuple[Stage, ...]

    def first_non_repeatable_index(self) -> int | None:
        """Return the index of the first stage that may not be repeated.

        None if every stage may be repeated.
        """
        for index, stage in enumerate(self.stages):
            if not stage.repeatable:
                return index
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Contract:
    """A catalogue entry that members may call.

    :param owner: member to which the cost of the entry is charged.
    :param callers: members that may call it; empty means every member.
    """

    entry_id: str
    owner: str
    class_id: str
    pipeline_id: str
    limits: ContractLimits = ContractLimits()
    callers: tuple[str, ...] = ()
