"""Members, classes, pipelines and the contracts that tie them together."""

import dataclasses

__all__ = [
    'Contract',
    'Limits',
    'Member',
    'Pipeline',
    'ServiceClass',
    'Stage',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A member firm or team that sends requests.

    :param token_digests: SHA-256 hex digests of its valid bearer tokens.
    :param weight: share relative to other members of the same class.
    """

    member_id: str
    token_digests: tuple[str, ...]
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of service.

    :param weight: share relative to other classes.
    """

    class_id: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a contract over the whole fleet.

    :param max_in_flight: requests admitted at the same time.
    """

    max_in_flight: int = 100
    max_body_bytes: int = 262_144
    deadline_ms: int = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """One step of a pipeline.

    :param repeatable: whether an attempt may be run again.
    :param streams: whether the target answers with an event stream.
    :param model: model name for engines, empty otherwise.
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

    def first_unrepeatable(self) -> int | None:
        """Return the index of the first stage that may not be repeated."""
        for index, stage in enumerate(self.stages):
            if not stage.repeatable:
                return index
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Contract:
    """A catalogue entry that members may call.

    :param owner: member that pays for the entry.
    :param callers: members that may call it; empty means every member.
    """

    entry_id: str
    owner: str
    class_id: str
    pipeline_id: str
    limits: Limits = Limits()
    callers: tuple[str, ...] = ()
