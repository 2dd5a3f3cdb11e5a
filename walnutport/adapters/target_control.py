"""Calls to a target beside its work: load report and cancel."""

import msgspec
from twisted.internet import defer
from twisted.internet import error as twisted_error

from walnutport.adapters import http_client
from walnutport.adapters import stage
from walnutport import exceptions
from walnutport import world

__all__ = ['TargetControl']

TIMEOUT_S = 0.5


class TargetControl:
    """Asks targets for their load and cancels attempts.

    :param client: keeps no connections, as a call must find out whether the
        target still accepts one.
    """

    def __init__(self, client: http_client.HttpClient, reactor) -> None:
        self._client = client
        self._reactor = reactor

    async def read_load(self, target: world.Target) -> world.LoadReport:
        """Return the load that a target reports.

        :raises NotSent: if the target refused the connection.
        :raises AttemptLost: if there is no valid report in time.
        """
        try:
            reply = await self._call('GET', f'http://{target.address}/v1/load')
            return stage.parse_load(reply.body.decode('ascii', 'replace'))
        except twisted_error.ConnectionRefusedError as error:
            raise exceptions.NotSent(str(error)) from error
        except defer.CancelledError:
            raise
        except Exception as error:  # noqa: BLE001 - library errors vary
            raise exceptions.AttemptLost(repr(error)) from error

    async def cancel(self, target: world.Target, attempt_id: str) -> bool:
        """Cancel an attempt and return whether the target took the order."""
        try:
            reply = await self._call(
                'POST',
                f'http://{target.address}/v1/cancel',
                msgspec.json.encode({'attempt_id': attempt_id}),
            )
        except defer.CancelledError:
            raise
        except Exception:  # noqa: BLE001 - library errors vary
            return False
        return reply.status == 200

    async def _call(
        self, method: str, url: str, body: bytes = b''
    ) -> http_client.HttpReply:
        calling = defer.Deferred.fromCoroutine(
            self._client.call(method, url, body, max_body_bytes=65_536)
        )
        return await calling.addTimeout(TIMEOUT_S, self._reactor)
