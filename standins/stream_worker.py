"""One engine as a process: ``python -m standins.stream_worker FILE``.

It reads its settings from the file once it gets ``BEGIN_SIGNAL``, so that a
process that stands by takes over at once. It listens, registers itself in the
store of the platform stand-in and streams events. Each event names the
version, the run and the request. What the worker does is written to the
standard output as JSON lines.
"""

import asyncio
import base64
import contextlib
import dataclasses
import pathlib
import random
import secrets
import signal
import socket
import struct
import sys
import time

import msgspec

from standins import stream_bytes

__all__ = [
    'BEGIN_SIGNAL',
    'HEARTBEAT_S',
    'StreamWorker',
    'StreamWorkerSettings',
    'main',
]

#: Blocked in the process from its start, so that it may come at any time.
BEGIN_SIGNAL = signal.SIGUSR1
_NOT_EXECUTED = 'Walnutport-Not-Executed: 1\r\n'
# An extra response is sent up to this long after the first one.
_MAX_EXTRA_DELAY_S = 0.3
_MAX_LISTEN_S = 5.0
#: Time between two writes of the entry.
HEARTBEAT_S = 1.2
_LISTEN_RETRY_S = 0.0005
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamWorkerSettings:
    """Settings of a worker.

    :param start: how often it was started, by now.
    :param store_port: port of the platform stand-in.
    :param start_delay_s: time until it listens.
    :param register_after_s: time from then until it writes its entry; None if
        the entry comes first.
    :param publishes_start: whether its entry and its report name its start.
    :param clock_offset_ms: offset of its wall clock, in its start time.
    :param framings: framings among which each response draws.
    :param cut_share: share of the streams that break off at any byte.
    :param extra_share: share of the responses that are sent a second time.
    """

    target_id: str
    service: str
    version: str
    start: int
    port: int
    store_port: int
    ip: str = '127.0.0.1'
    zone: str = 'a'
    slots: int = 8
    queue: int = 8
    events: int = 20
    event_ms: float = 25.0
    start_delay_s: float = 0.0
    register_after_s: float | None = 0.0
    heartbeat_s: float = HEARTBEAT_S
    publishes_start: bool = True
    clock_offset_ms: int = 0
    framings: tuple[stream_bytes.Framing, ...] = (
        stream_bytes.Framing.CHUNKS,
        stream_bytes.Framing.LENGTH,
    )
    cut_share: float = 0.0
    extra_share: float = 0.0
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    headers: dict[str, str]


class StreamWorker:
    """Serves requests until the process is killed."""

    def __init__(self, settings: StreamWorkerSettings) -> None:
        self._settings = settings
        self._rng = random.Random(
            f'{settings.seed}/{settings.target_id}/{settings.start}'
        )
        self._born = round(time.time() * 1000) + settings.clock_offset_ms
        self._sequence = 0
        self._active = 0
        self._runs = 0

    async def run(self) -> None:
        """Listen, and keep the entry in the store."""
        settings = self._settings
        self._log('started', born=self._born, version=settings.version)
        await asyncio.sleep(settings.start_delay_s)
        if settings.register_after_s is None:
            await self._register()
        await self._listen()
        self._log('listens')
        await asyncio.sleep(settings.register_after_s or 0.0)
        if settings.register_after_s is not None:
            await self._register()
        while True:
            await asyncio.sleep(settings.heartbeat_s)
            await self._register()

    async def _listen(self) -> None:
        """Listen once the run before is gone.

        :raises OSError: if the port stays in use.
        """
        settings = self._settings
        ends_at = time.monotonic() + _MAX_LISTEN_S
        while True:
            try:
                await asyncio.start_server(
                    self._serve, settings.ip, settings.port, backlog=128
                )
            except OSError:
                if time.monotonic() > ends_at:
                    raise
                await asyncio.sleep(_LISTEN_RETRY_S)
            else:
                return

    def _log(self, event: str, **fields: object) -> None:
        line = {
            'ts': round(time.time(), 4),
            'worker': self._settings.target_id,
            'start': self._settings.start,
            'event': event,
            **fields,
        }
        sys.stdout.write(msgspec.json.encode(line).decode() + '\n')
        sys.stdout.flush()

    def _published_start(self) -> dict[str, int]:
        return {'born': self._born} if self._settings.publishes_start else {}

    async def _register(self) -> None:
        """Write the entry, unless the store cannot be reached."""
        settings = self._settings
        self._sequence += 1
        entry = {
            'service': settings.service,
            'address': f'{settings.ip}:{settings.port}',
            'zone': settings.zone,
            'version': settings.version,
            'slots': settings.slots,
            'state': 'ready',
            'coldMs': 0,
            'sequence': self._sequence,
            **self._published_start(),
        }
        encoded = base64.b64encode(msgspec.json.encode(entry)).decode()
        body = msgspec.json.encode({'entries': {settings.target_id: encoded}})
        try:
            reader, writer = await asyncio.open_connection(
                settings.ip, settings.store_port
            )
            with contextlib.closing(writer):
                writer.write(
                    b'POST /control HTTP/1.1\r\nHost: store\r\n'
                    b'Connection: close\r\nContent-Length: %d\r\n\r\n%b'
                    % (len(body), body)
                )
                status = await reader.readline()
        except OSError as error:
            self._log('not_registered', detail=repr(error))
            return
        if self._sequence == 1:
            self._log('registered', status=status.decode().strip())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of a channel one after the other."""
        with contextlib.closing(writer), contextlib.suppress(OSError):
            extra = b''
            while True:
                try:
                    request = await self._next_request(reader, writer, extra)
                except (asyncio.IncompleteReadError, ValueError):
                    return
                if request.path == '/report' and self._is_named_in(request):
                    extra = b''
                    self._report(writer)
                    continue
                complete = await self._respond(request, reader, writer)
                if complete is None:
                    return
                extra = complete

    async def _next_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        extra: bytes,
    ) -> _Request:
        """Return the next request, and send an extra response meanwhile."""
        reading = asyncio.create_task(_read_request(reader))
        if extra:
            delay_s = self._rng.uniform(0.0, _MAX_EXTRA_DELAY_S)
            await asyncio.wait({reading}, timeout=delay_s)
            writer.write(extra)
        return await reading

    def _is_named_in(self, request: _Request) -> bool:
        """Return whether a request is for this target, or for any."""
        expected = request.headers.get('walnutport-expect-instance')
        return expected in (None, self._settings.target_id)

    def _report(self, writer: asyncio.StreamWriter) -> None:
        body = msgspec.json.encode(
            {
                'sequence': 0,
                'queued': 0,
                'active': self._active,
                **self._published_start(),
            }
        )
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
        )

    async def _respond(
        self,
        request: _Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        """Refuse or run a request.

        :returns: extra response to send, or None if the channel ends.
        """
        settings = self._settings
        request_id = request.headers.get('walnutport-request-attempt-id', '')
        status = ''
        expected = request.headers.get('walnutport-expect-instance')
        if expected != settings.target_id:
            status = '421 Misdirected Request'
        elif self._active >= settings.slots + settings.queue:
            status = '503 Service Unavailable'
        if status:
            writer.write(
                (
                    f'HTTP/1.1 {status}\r\n{_NOT_EXECUTED}'
                    f'Walnutport-Request-Attempt-Id: {request_id}\r\n'
                    'Content-Length: 0\r\n\r\n'
                ).encode()
            )
            return b''
        self._active += 1
        try:
            return await self._stream(request, request_id, reader, writer)
        finally:
            self._active -= 1

    async def _stream(
        self,
        request: _Request,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        """Send a stream; return and raise as the caller does."""
        settings = self._settings
        self._runs += 1
        run_id = f'{settings.target_id}/{settings.start}/{self._runs}'
        after = int(request.headers.get('last-event-id') or 0)
        response = stream_bytes.stream_response(
            self._rng.choice(settings.framings),
            {
                'Content-Type': 'text/event-stream',
                'Walnutport-Request-Attempt-Id': request_id,
                'Walnutport-Response-Seal': secrets.token_hex(4),
            },
            tuple(
                stream_bytes.event_bytes(
                    number, settings.version, run_id, request_id
                )
                for number in range(after + 1, settings.events + 1)
            ),
        )
        cut = None
        if self._rng.random() < settings.cut_share:
            cut = stream_bytes.draw_cut(self._rng, response)
        described = {
            'run': run_id,
            'request': request_id,
            'after': after,
            'framing': response.framing,
        }
        self._log('begins', **described)
        sent = 0
        for piece in (response.head, *response.pieces):
            if piece.startswith(b'0\r\n'):
                pause_s = 0.0
            else:
                pause_s = settings.event_ms / 1000
            await asyncio.sleep(pause_s)
            if reader.at_eof() or writer.is_closing():
                self._log('dropped', **described, sent=sent)
                return None
            if cut is not None and sent + len(piece) > cut.position:
                writer.write(piece[: cut.position - sent])
                self._log('cuts', **described, **dataclasses.asdict(cut))
                _end_channel(writer, cut.resets)
                return None
            writer.write(piece)
            sent += len(piece)
        await writer.drain()
        self._log('ends', **described, sent=sent)
        if response.framing is stream_bytes.Framing.CLOSE:
            return None
        if self._rng.random() < settings.extra_share:
            return response.whole()
        return b''


def _end_channel(writer: asyncio.StreamWriter, resets: bool) -> None:
    """Close or reset a channel."""
    if resets:
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        writer.transport.abort()
    else:
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> _Request:
    """Read a request with its body.

    :raises asyncio.IncompleteReadError: if the channel ends before.
    :raises ValueError: if it is not a request.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head[:-4].split('\r\n')
    method, path, _ = first.split(' ')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    if headers.get('transfer-encoding') == 'chunked':
        size = -1
        while size:
            size = int(await reader.readuntil(b'\r\n'), 16)
            await reader.readexactly(size + 2)
    else:
        await reader.readexactly(int(headers.get('content-length', 0)))
    return _Request(method, path, headers)


def main() -> None:
    """Wait for the signal, and run with the settings of the file."""
    signal.sigwait({BEGIN_SIGNAL})
    text = pathlib.Path(sys.argv[1]).read_bytes()
    settings = msgspec.json.decode(text, type=StreamWorkerSettings)
    asyncio.run(StreamWorker(settings).run())


if __name__ == '__main__':
    main()
