"""Client of stage services and of engines that do not stream."""

from collections.abc import Callable
import dataclasses

import msgspec

from walnutport.adapters import http_client
from walnutport import exceptions
from walnutport import world

__all__ = [
    'HEADER_ATTEMPT',
    'HEADER_LOAD',
    'HEADER_TOKENS',
    'StageCall',
    'StageClient',
    'StageReply',
    'parse_load',
    'request_headers',
]

HEADER_ATTEMPT = 'walnutport-attempt-id'
HEADER_LOAD = 'walnutport-load'
HEADER_TOKENS = 'walnutport-tokens'

# Bound of the counts in a load report: one beyond the range of a float would
# break routing to the whole pool, and a negative one would attract all work of
# the pool to one target.
_MAX_COUNT = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class StageCall:
    """One attempt to run a stage.

    :param input_json: JSON text of the stage's input.
    :param resume_from: index of the first event that is still missing.
    :param on_written: called once the kernel has the whole request, so that
        the target may get it.
    """

    attempt_id: str
    request_id: str
    entry_id: str
    stage: str
    remaining_s: float
    input_json: bytes
    priority: float = 1.0
    repeatable: bool = True
    model: str = ''
    resume_from: int = 0
    on_written: Callable[[], None] = lambda: None


@dataclasses.dataclass(frozen=True, slots=True)
class StageReply:
    """Output of a stage."""

    output_json: bytes
    tokens: int
    load: world.LoadReport | None


@dataclasses.dataclass(frozen=True, slots=True)
class _RunReply:
    output: msgspec.Raw


class StageClient:
    """Runs attempts on targets (see docs/interfaces.md).

    :param pooled: client that reuses connections.
    :param unpooled: client that opens a new connection for each call, for
        attempts that must not be repeated.
    """

    def __init__(
        self, pooled: http_client.HttpClient, unpooled: http_client.HttpClient
    ) -> None:
        self._pooled = pooled
        self._unpooled = unpooled

    async def run(
        self,
        target: world.Target,
        call: StageCall,
        on_sent: Callable[[], None],
    ) -> StageReply:
        """Run an attempt and return the output of the stage.

        :param on_sent: called before the first byte goes to a connection.
        :raises NotSent: if no byte was written to a connection.
        :raises AttemptLost: if the outcome is unknown.
        :raises TargetRefused: if the target answered with an error status.
        """
        client = self._pooled if call.repeatable else self._unpooled
        try:
            reply = await client.call(
                'POST',
                f'http://{target.address}/v1/run',
                encode_request_body(call),
                request_headers(call),
                on_sent=on_sent,
                on_written=call.on_written,
                echoed_header=HEADER_ATTEMPT,
            )
        except exceptions.ChannelError as error:
            if not error.written:
                raise exceptions.NotSent(str(error)) from error
            raise exceptions.AttemptLost(str(error)) from error
        except exceptions.CodecError as error:
            raise exceptions.AttemptLost(str(error)) from error
        return _decode_reply(call, reply)


def encode_request_body(call: StageCall) -> bytes:
    """Return the request body; the input is embedded without parsing it."""
    return b'{"stage":%b,"model":%b,"resume_from":%d,"input":%b}' % (
        msgspec.json.encode(call.stage),
        msgspec.json.encode(call.model),
        call.resume_from,
        call.input_json,
    )


def request_headers(call: StageCall) -> dict[str, str]:
    """Return the request headers of a call."""
    return {
        'content-type': 'application/json',
        HEADER_ATTEMPT: call.attempt_id,
        'walnutport-request-id': call.request_id,
        'walnutport-entry': call.entry_id,
        'walnutport-deadline-ms': str(max(0, int(call.remaining_s * 1000))),
        'walnutport-priority': f'{call.priority:g}',
    }


def parse_load(value: str) -> world.LoadReport:
    """Parse the load header ``running=1;queued=0;slots=4;...``.

    :raises CodecError: if a field is missing, malformed or out of range.
    """
    try:
        fields = dict(item.split('=', 1) for item in value.split(';') if item)
        return world.LoadReport(
            running=_parse_count(fields['running']),
            queued=_parse_count(fields['queued']),
            slots=_parse_count(fields['slots']),
            incarnation=fields.get('incarnation', ''),
            state=world.TargetState(fields.get('state', 'live')),
        )
    except (KeyError, ValueError) as error:
        raise exceptions.CodecError(f'load header: {error!r}') from None


def _parse_count(text: str) -> int:
    value = int(text)
    if not 0 <= value <= _MAX_COUNT:
        raise ValueError(f'count {text[:20]} is out of range')
    return value


def load_from_headers(headers: dict[str, str]) -> world.LoadReport | None:
    """Return the load report in the headers, or None without a valid one."""
    value = headers.get(HEADER_LOAD)
    if value is None:
        return None
    try:
        return parse_load(value)
    except exceptions.CodecError:
        return None


def check_attempt_id(call: StageCall, headers: dict[str, str]) -> None:
    """Check that a response belongs to the attempt.

    :raises AttemptLost: if it does not name this attempt.
    """
    echoed = headers.get(HEADER_ATTEMPT)
    if echoed != call.attempt_id:
        raise exceptions.AttemptLost(f'response names attempt {echoed!r}')


def _decode_reply(call: StageCall, reply: http_client.HttpReply) -> StageReply:
    check_attempt_id(call, reply.headers)
    if reply.status != 200:
        raise exceptions.TargetRefused(
            reply.body[:200].decode('utf-8', 'replace'), reply.status
        )
    try:
        output = msgspec.json.decode(reply.body, type=_RunReply).output
        tokens = int(reply.headers.get(HEADER_TOKENS, '0'))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise exceptions.AttemptLost(f'malformed answer: {error}') from None
    return StageReply(bytes(output), tokens, load_from_headers(reply.headers))
