"""Client of the control calls of targets: load report and cancel."""

import msgspec
from twisted.internet import defer

from walnutport.adapters import http_client
from walnutport.adapters import stage_client
from walnutport import exceptions
from walnutport import world

__all__ = ['TargetControl']

TIMEOUT_S = 0.5


class TargetControl:
    """Reads load reports of targets and cancels attempts.

    :param client: client without persistent connections, because each call
        has to find out whether the target still accepts connections.
    """

    def __init__(self, client: http_client.HttpClient, reactor) -> None:
        self._client = client
        self._reactor = reactor

    async def read_load(self, target: world.Target) -> world.LoadReport:
        """Return the load report of a target.

        :raises NotSent: if the target refused the connection.
        :raises AttemptLost: if there is no valid report in time.
        """
        try:
            reply = await self._call('GET', f'http://{target.address}/v1/load')
            return stage_client.parse_load(
                reply.body.decode('ascii', 'replace')
            )
        except defer.CancelledError:
            raise
        except exceptions.ChannelError as error:
            if error.refused:
                raise exceptions.NotSent(str(error)) from error
            raise exceptions.AttemptLost(repr(error)) from error
        except Exception as error:  # noqa: BLE001 - library errors vary
            raise exceptions.AttemptLost(repr(error)) from error

    async def cancel(self, target: world.Target, attempt_id: str) -> bool:
        """Cancel an attempt; return whether the target accepted that."""
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
        pending = defer.Deferred.fromCoroutine(
            self._client.call(method, url, body, max_body_bytes=65_536)
        )
        return await pending.addTimeout(TIMEOUT_S, self._reactor)
