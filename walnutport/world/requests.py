"""Decoded headers of callers' requests and targets' responses."""

import dataclasses

__all__ = ['ResponseFields', 'PromptShape', 'RequestFields', 'ResponseLoad']


@dataclasses.dataclass(frozen=True, slots=True)
class PromptShape:
    """Size and shared parts of a prompt.

    :param part_ids: ids of the parts of the prompt, in order; the last part
        belongs to the request itself or to its session.
    :param part_tokens: number of tokens of each part.
    """

    input_tokens: int
    max_output_tokens: int
    part_ids: tuple[str, ...]
    part_tokens: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFields:
    """Decoded headers of one request attempt of a caller.

    :param timeout_s: how long the caller waits; None if the header is missing.
    :param api_key: API key of the caller's team; empty if missing.
    :param piece_counts: pieces of each stage; None if the header is missing.
    :param piece_key: key of the input that the first stages process.
    :param last_event_id: id of the last event that the caller has; None if it
        is missing or no number.
    :param continues_stream: whether the caller has events of an earlier
        attempt and asks for those after them.
    :param shared_parts: ids of the parts of the prompt but the last one, which
        belongs to the request itself or to its session.
    :param begun_by: id of the attempt that brought the first event of that
        stream; empty if the caller does not say.
    """

    request_id: str
    timeout_s: float | None
    api_key: str
    piece_counts: tuple[int, ...] | None
    piece_key: str
    prompt: PromptShape | None
    last_event_id: int | None
    continues_stream: bool = False
    begun_by: str = ''
    shared_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLoad:
    """Load of a target, from the headers of its response.

    :param slowness: how long work currently takes on the machine of the
        target, divided by the usual time; None if it does not say.
    """

    running: int
    queued: int
    slots: int
    slowness: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseFields:
    """Decoded headers of a target's response.

    :param request_id: id of the request attempt that the response is for;
        empty if missing.
    :param sealed: whether the response has the target's seal; a 2xx response
        without a seal is not forwarded.
    :param not_run: whether the target states that it did not run the request.
    :param load: load of the target; None if missing or unreadable.
    :param rate_limit: requests a second that the target accepts from all hosts
        together; None if it states no limit.
    :param rejection_limit: requests a second that the target can turn away
        without falling over; None if it does not say.
    :param leaving: whether the target states that it is shutting down.
    :param retry_after_s: how long the target wants no requests of this host,
        after it has turned one away; None if it does not say.
    :param problems: descriptions of values that are invalid and ignored.
    :param cold_s: how long the target stays cold; None if it does not say.
    :param cold_problem: description of an invalid cold time, which counts as
        none; empty if it is valid.
    :param slowness_problem: description of an invalid slowness; empty if it is
        valid. Unlike the other problems it casts no doubt on what the target
        states in the same response.
    """

    request_id: str
    sealed: bool
    not_run: bool
    load: ResponseLoad | None
    rate_limit: float | None = None
    rejection_limit: float | None = None
    leaving: bool = False
    retry_after_s: float | None = None
    problems: tuple[str, ...] = ()
    cold_s: float | None = None
    cold_problem: str = ''
    slowness_problem: str = ''
