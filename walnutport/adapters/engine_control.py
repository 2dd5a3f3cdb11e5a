"""Client of the control interface of model engines."""

import msgspec
from twisted.internet import defer

from walnutport.adapters import http_client
from walnutport import exceptions
from walnutport.orders import reconcile
from walnutport import world

__all__ = ['EngineControl']

_CONFLICT = 409


class EngineControl:
    """Reads reports of engines and sends them orders.

    :param timeout_s: longest wait for an answer in seconds.
    """

    def __init__(
        self, client: http_client.HttpClient, reactor, timeout_s: float
    ) -> None:
        self._client = client
        self._reactor = reactor
        self._timeout_s = timeout_s

    async def read_report(
        self, target: world.Target
    ) -> reconcile.EngineReport:
        """Return what an engine reports of itself.

        :raises OrderError: if it gives no valid report.
        """
        reply = await self._call('GET', target, '/v1/engine', b'')
        if reply.status != 200:
            raise exceptions.OrderError(f'report: status {reply.status}')
        try:
            return msgspec.json.decode(reply.body, type=reconcile.EngineReport)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise exceptions.OrderError(f'report: {error}') from None

    async def send_order(
        self, target: world.Target, order: reconcile.EngineOrder
    ) -> bool:
        """Send an order; False if the engine knows a higher number.

        :raises OrderError: if it is unknown whether the engine took it.
        """
        body = msgspec.json.encode(order)
        reply = await self._call('POST', target, '/v1/orders', body)
        if reply.status == _CONFLICT:
            return False
        if reply.status != 200:
            raise exceptions.OrderError(f'order: status {reply.status}')
        return True

    async def _call(
        self, method: str, target: world.Target, path: str, body: bytes
    ) -> http_client.HttpReply:
        calling = defer.Deferred.fromCoroutine(
            self._client.call(method, f'http://{target.address}{path}', body)
        ).addTimeout(self._timeout_s, self._reactor)
        try:
            return await calling
        except Exception as error:  # noqa: BLE001 - library errors vary
            raise exceptions.OrderError(f'{path}: {error!r}') from error
