"""Stand-in for the members: sends requests and records the answers."""

from collections.abc import Sequence
import dataclasses
import random
import secrets
import time

import msgspec
import treq
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import client

from standins import ledger

__all__ = ['Caller', 'CallerSettings', 'Load']

_MAX_ATTEMPTS = 4
_RESEND_DELAY_S = 0.05
_TIMEOUT_MARGIN_S = 5.0
_UNREADY = 'host_not_ready'


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests that one member sends to one entry.

    :param rate_per_s: mean rate of a Poisson process.
    :param count: total number of requests.
    :param start_s: delay from the start of the caller to that of the load.
    :param keyed: whether each request has an idempotency key.
    :param stream: whether the answer is requested as an event stream.
    :param resend: whether a request is sent again, to another host and with
        the same key, when its connection breaks.
    :param resend_unready: whether it is also sent again when a host answers
        that it is not ready; a balancer would not have chosen that host.
    :param body: fields of the request body besides the nonce.
    """

    member_id: str
    token: str
    entry_id: str
    rate_per_s: float
    count: int
    start_s: float = 0.0
    deadline_ms: int = 4_000
    keyed: bool = False
    stream: bool = False
    resend: bool = True
    resend_unready: bool = False
    body: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSettings:
    """Settings of a caller.

    :param hosts: caller addresses of the hosts, as ``ip:port``.
    :param host_weights: relative weights of the hosts in the random order in
        which a request tries them; empty for equal weights.
    """

    hosts: tuple[str, ...]
    ledger_folder: str
    loads: tuple[Load, ...]
    source: str = 'caller'
    seed: int = 1
    host_weights: tuple[float, ...] = ()


@dataclasses.dataclass(slots=True)
class _ReceivedAnswer:
    outcome: str = 'disconnected'
    reason: str = ''
    nonce: str = ''
    trace: tuple[str, ...] = ()
    tokens: tuple[int, ...] = ()
    tokens_wanted: int = 0


class Caller:
    """Sends the requests of the configured loads and records the answers."""

    def __init__(
        self, settings: CallerSettings, event_ledger: ledger.Ledger
    ) -> None:
        self._settings = settings
        self._ledger = event_ledger
        self._rng = random.Random(settings.seed)
        pool = client.HTTPConnectionPool(reactor, persistent=False)
        self._client = treq.client.HTTPClient(
            client.Agent(reactor, connectTimeout=2.0, pool=pool)
        )

    async def run(self) -> None:
        """Send the requests of all loads and wait for the last answer."""
        await defer.gatherResults(
            [
                defer.Deferred.fromCoroutine(self._run_load(load))
                for load in self._settings.loads
            ]
        )

    async def _run_load(self, load: Load) -> None:
        if load.start_s > 0:
            await task.deferLater(reactor, load.start_s)
        sends = []
        due_s = time.monotonic()
        for _ in range(load.count):
            due_s += self._rng.expovariate(load.rate_per_s)
            wait_s = due_s - time.monotonic()
            if wait_s > 0:
                await task.deferLater(reactor, wait_s)
            sends.append(defer.Deferred.fromCoroutine(self.send(load)))
        await defer.gatherResults(sends)

    async def send(self, load: Load) -> str:
        """Send one request, resent if allowed, and return its outcome."""
        nonce = secrets.token_hex(8)
        key = f'{int(time.time())}-{nonce}' if load.keyed else ''
        started = time.monotonic()
        received = _ReceivedAnswer()
        hosts = self._choose_hosts()
        for attempt in range(_MAX_ATTEMPTS):
            request_id = f'{nonce}-{attempt}'
            self._record_request(
                ledger.EventKind.SENT, load, nonce, request_id, key
            )
            received = await self._send_once(
                hosts[attempt % len(hosts)], load, nonce, key, request_id
            )
            elapsed_s = time.monotonic() - started
            self._ledger.record(
                ledger.EventKind.ANSWERED,
                nonce=nonce,
                member_id=load.member_id,
                entry_id=load.entry_id,
                request_id=request_id,
                key=key,
                outcome=received.outcome,
                reason=received.reason,
                answered_nonce=received.nonce,
                trace=received.trace,
                tokens=received.tokens,
                tokens_wanted=received.tokens_wanted,
                late=elapsed_s > load.deadline_ms / 1000,
                latency_s=elapsed_s,
            )
            if not _is_sent_again(load, received):
                break
            await task.deferLater(reactor, _RESEND_DELAY_S)
        return received.outcome

    def _choose_hosts(self) -> Sequence[str]:
        """Return the hosts in the order in which a request tries them.

        The order is a weighted random sample without replacement.
        """
        hosts = self._settings.hosts
        weights = self._settings.host_weights or (1.0,) * len(hosts)
        keyed_hosts = [
            (self._rng.random() ** (1 / weight), host)
            for host, weight in zip(hosts, weights)
        ]
        return [host for _, host in sorted(keyed_hosts, reverse=True)]

    async def _send_once(
        self, host: str, load: Load, nonce: str, key: str, request_id: str
    ) -> _ReceivedAnswer:
        headers = {
            'authorization': f'Bearer {load.token}',
            'content-type': 'application/json',
            'walnutport-deadline-ms': str(load.deadline_ms),
            'walnutport-request-id': request_id,
        }
        if key:
            headers['idempotency-key'] = key
        if load.stream:
            headers['accept'] = 'text/event-stream'
        exchange = defer.Deferred.fromCoroutine(
            self._exchange(
                f'http://{host}/v1/entries/{load.entry_id}',
                msgspec.json.encode({**load.body, 'nonce': nonce}),
                headers,
            )
        )
        exchange.addTimeout(
            load.deadline_ms / 1000 + _TIMEOUT_MARGIN_S, reactor
        )
        try:
            return await exchange
        except Exception:  # noqa: BLE001 - counts as disconnected
            return _ReceivedAnswer()

    async def _exchange(
        self, url: str, body: bytes, headers: dict[str, str]
    ) -> _ReceivedAnswer:
        response = await self._client.post(url, data=body, headers=headers)
        content = await response.content()
        types = response.headers.getRawHeaders('content-type') or ['']
        if types[-1].startswith('text/event-stream'):
            return parse_stream(content)
        return _parse_answer(msgspec.json.decode(content))

    def _record_request(
        self, kind, load: Load, nonce, request_id, key
    ) -> None:
        self._ledger.record(
            kind,
            nonce=nonce,
            member_id=load.member_id,
            entry_id=load.entry_id,
            request_id=request_id,
            key=key,
        )


def _parse_answer(answer: dict) -> _ReceivedAnswer:
    output = answer.get('output') or {}
    return _ReceivedAnswer(
        outcome=answer.get('outcome', ''),
        reason=answer.get('reason', ''),
        nonce=output.get('nonce', ''),
        trace=tuple(output.get('trace', ())),
    )


def _is_sent_again(load: Load, received: _ReceivedAnswer) -> bool:
    if received.reason == _UNREADY:
        return load.resend_unready
    return load.resend and received.outcome == 'disconnected'


def parse_stream(content: bytes) -> _ReceivedAnswer:
    """Return the answer and the tokens of a complete event stream."""
    received = _ReceivedAnswer()
    tokens = []
    for event in content.split(b'\n\n'):
        fields = dict(
            line.split(b': ', 1)
            for line in event.split(b'\n')
            if b': ' in line
        )
        data = msgspec.json.decode(fields.get(b'data', b'{}'))
        kind = fields.get(b'event', b'')
        if kind == b'answer':
            answer = _parse_answer(data)
            received.outcome = answer.outcome
            received.reason = answer.reason
            if answer.nonce:
                received.nonce = answer.nonce
                received.trace = answer.trace
        elif kind == b'done':
            output = data.get('output', {})
            received.nonce = output.get('nonce', '')
            received.trace = tuple(output.get('trace', ()))
            received.tokens_wanted = data.get('tokens', 0)
        elif 'token' in data:
            tokens.append(data['token'])
    received.tokens = tuple(tokens)
    return received
