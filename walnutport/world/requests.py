"""What callers say of their requests and targets of their answers."""

import dataclasses

__all__ = ['AnswerFields', 'PromptShape', 'RequestFields', 'ReportedLoad']


@dataclasses.dataclass(frozen=True, slots=True)
class PromptShape:
    """Size and shared parts of a prompt.

    :param part_ids: ids of the parts, in order; the last one belongs to the
        request itself or to its session.
    :param part_tokens: tokens of each part.
    """

    input_tokens: int
    max_output_tokens: int
    part_ids: tuple[str, ...]
    part_tokens: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFields:
    """Decoded headers of one attempt of a caller.

    :param wait_s: how long the caller waits, or None if it does not say.
    :param api_key: key of the caller's team, empty if there is none.
    :param piece_counts: pieces of each stage, None if the header is missing.
    :param piece_key: what the first stages work on.
    """

    request_id: str
    timeout_s: float | None
    api_key: str
    piece_counts: tuple[int, ...] | None
    piece_key: str
    prompt: PromptShape | None
    last_event_id: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load of a target by its own word."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFields:
    """Decoded headers of a target's answer.

    :param request_id: the attempt that it answers, empty if not said.
    :param sealed: whether the target vouches for the body.
    :param not_run: whether the target says that it did not run the request.
    :param load: what it says of its load.
    """

    request_id: str
    sealed: bool
    not_run: bool
    load: ReportedLoad | None
