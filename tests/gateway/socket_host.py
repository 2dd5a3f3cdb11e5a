"""An entry host whose callers and targets are on real sockets."""

import socket
import types

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from tests.gateway import call_builders
from tests.gateway import fake_host
from tests import socket_target
from walnutport.gateway.entry import calls
from walnutport.gateway.peers import peer_relay
from walnutport.http1 import channel_pool
from walnutport.http1 import server
from walnutport.platform import headers
from walnutport.world import routes

__all__ = ['ONCE', 'REPEATABLE', 'STAGED', 'STREAM', 'SocketHost']

ONCE = call_builders.stream_route(
    kind=routes.RequestKind.AT_MOST_ONCE, stages=(), timeout_s=60.0
)
REPEATABLE = call_builders.stream_route(
    kind=routes.RequestKind.REPEATABLE, stages=(), timeout_s=60.0
)
STAGED = call_builders.stream_route(timeout_s=60.0, max_event_gap_s=5.0)
STREAM = call_builders.stream_route(
    stages=(), timeout_s=60.0, max_targets=3, max_event_gap_s=5.0
)


class SocketHost(fake_host.FakeHost):
    """Host that listens for callers; a context manager.

    :param route: route of all requests.
    :param target_ids: ids of the targets that it knows at first.
    :param is_cut: whether it reaches no targets, so that peers serve its
        callers; they listen where the targets would.
    :ivar socket_targets: targets by id, also those that it does not know.
    :ivar calls: calls of the callers by request id.
    """

    def __init__(
        self, route: routes.Route, *target_ids: str, is_cut: bool = False
    ) -> None:
        self._is_cut = is_cut
        self.socket_targets = {
            name: socket_target.SocketTarget()
            for name in ('llm-1', 'llm-2', 'llm-3')
        }
        self.pool = channel_pool.ChannelPool(reactor, 8)
        self.calls: dict[str, calls.CallerCall] = {}
        self._route = route
        self._engines = {
            name: call_builders.engine(name, address=target.address)
            for name, target in self.socket_targets.items()
        }
        super().__init__(*(self._engines[name] for name in target_ids))
        self._matcher.match = self._match
        self._listener = reactor.listenTCP(
            0,
            server.ServerSite(
                reactor, self.handler.handle, routes.RequestLimits
            ),
            interface='127.0.0.1',
        )
        self._callers: list[socket_target.Connection] = []

    def __enter__(self) -> 'SocketHost':
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._listener.stopListening()
        self.pool.close_all()
        self.relay_pool.close_all()
        for caller in self._callers:
            caller.close()
        for target in self.socket_targets.values():
            target.__exit__(*exc_info)

    def add_target(self, target_id: str) -> None:
        """Let the host know one more target."""
        self.targets[target_id] = self._engines[target_id]

    def request(
        self, request_id: str, **fields: str
    ) -> socket_target.Connection:
        """Send the request of a caller on a connection of its own.

        :param fields: additional headers, with underscores for hyphens.
        """
        port = self._listener.getHost().port
        caller = socket_target.Connection(
            socket.create_connection(('127.0.0.1', port))
        )
        self._callers.append(caller)
        lines = [
            'POST /review/x HTTP/1.1',
            'host: h.example',
            f'walnutport-request-attempt-id: {request_id}',
            'content-length: 4',
            'connection: close',
            *(f'{key.replace("_", "-")}: {fields[key]}' for key in fields),
        ]
        caller.write('\r\n'.join(lines).encode() + b'\r\n\r\nbody')
        return caller

    @property
    def relay_pool(self) -> channel_pool.ChannelPool:
        """Pool of the channels to peers."""
        return self.relay._pool

    def run_stages_later(self) -> None:
        """Let stages end after the current turn of the reactor."""
        run_stages = self.stages.run_stages

        async def run_later(stage_run):
            await task.deferLater(reactor, 0)
            return await run_stages(stage_run)

        self.stages.run_stages = run_later

    def idle_transport(self, target_id: str):
        """Return the transport of the idle channel to a target."""
        address = self._engines[target_id].address
        (channel,) = self.pool._idle_by_address[address]
        return channel.transport

    def placements(self, request_id: str) -> list[str]:
        """Return the targets that got a request, in order."""
        return self.calls[request_id].targets

    def _create_pool(self) -> channel_pool.ChannelPool:
        return self.pool

    def _create_relay(self) -> peer_relay.PeerRelay:
        """Return the relay to peers, at which the targets' sockets listen."""
        peer_by_name = {
            name: types.SimpleNamespace(
                record=types.SimpleNamespace(
                    ip=target.address[0],
                    relay_port=target.address[1],
                    work_share=1.0,
                    data_centre='a',
                ),
                accepts_work=True,
                accepts_requests=True,
            )
            for name, target in self.socket_targets.items()
        }
        self.relay = peer_relay.PeerRelay(
            reactor,
            self.log,
            types.SimpleNamespace(
                own_record=types.SimpleNamespace(data_centre='a'),
                peer_by_name=peer_by_name,
            ),
            types.SimpleNamespace(
                is_cut=self._is_cut,
                verify=lambda since: defer.succeed(False),
            ),
            'own',
            lambda request, name: None,
            lambda: True,
            routes.RequestLimits,
        )
        return self.relay

    def _match(self, request: server.ServerRequest) -> calls.CallerCall:
        fields = headers.decode_request_headers(request.headers)
        now = request.started_at
        call = calls.CallerCall(
            request=request,
            fields=fields,
            route=self._route,
            service='llm',
            team='north',
            priority=1,
            digest=fields.request_id.encode(),
            arrived_at=now,
            deadline_at=now + self._route.timeout_s,
            aim_at=now + self._route.latency_target_s,
        )
        self.calls[fields.request_id] = call
        return call
