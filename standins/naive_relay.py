"""Deliberately faulty relay, which tests that the checker finds its faults.

It accepts calls like a host, but does not track which request an output
belongs to: a caller gets the older of the last two outputs. It reports every
failure as ``not_run``.
"""

import dataclasses

import klein
import msgspec
import treq

__all__ = ['NaiveRelay', 'NaiveRelaySettings']


@dataclasses.dataclass(frozen=True, slots=True)
class NaiveRelaySettings:
    """Settings of a naive relay.

    :param addresses_by_stage: target address ``ip:port`` by stage, in order.
    """

    port: int
    addresses_by_stage: dict[str, str]
    ip: str = '127.0.0.1'


class NaiveRelay:
    """Runs each stage of a request on one fixed target."""

    app = klein.Klein()

    def __init__(self, settings: NaiveRelaySettings) -> None:
        self._settings = settings
        self._outputs: list[msgspec.Raw] = []

    @app.route('/healthz')
    def healthz(self, request) -> bytes:
        """Report that the process runs."""
        return b'ok\n'

    @app.route('/v1/entries/<string:entry_id>', methods=['POST'])
    async def run_entry(self, request, entry_id: str) -> bytes:
        """Run the stages and return the older of the last two outputs."""
        request_id = request.getHeader('walnutport-request-id') or ''
        output = msgspec.Raw(request.content.read())
        for stage, address in self._settings.addresses_by_stage.items():
            try:
                output = await self._run_stage(
                    stage, address, request_id, output
                )
            except Exception:  # noqa: BLE001 - a deliberate fault
                request.setResponseCode(503)
                return _answer('not_run', 'no_target')
        self._outputs = [*self._outputs[-1:], output]
        return _answer('complete', 'ok', self._outputs[0])

    async def _run_stage(
        self, stage: str, address: str, request_id: str, data: msgspec.Raw
    ) -> msgspec.Raw:
        response = await treq.post(
            f'http://{address}/v1/run',
            msgspec.json.encode({'stage': stage, 'input': data}),
            headers={'walnutport-request-id': request_id},
            persistent=False,
        )
        content = await response.content()
        return msgspec.json.decode(content, type=dict[str, msgspec.Raw])[
            'output'
        ]


def _answer(outcome: str, reason: str, output=None) -> bytes:
    return msgspec.json.encode(
        {'outcome': outcome, 'reason': reason, 'output': output}
    )
