"""Client of the weight store: which models exist and how fast it serves."""

import dataclasses

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from walnutport.adapters import http_client
from walnutport import exceptions

__all__ = ['HttpWeightStore', 'WeightList', 'Weights']


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Weights of one model.

    :param bytes: size that a load takes from the store.
    :param adapters: adapters that belong to the model.
    """

    name: str
    version: str
    bytes: int
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WeightList:
    """What the store holds.

    :param rate_bytes_per_s: rate limit over all loads.
    """

    rate_bytes_per_s: float
    models: tuple[Weights, ...] = ()


class HttpWeightStore:
    """Weight store behind its HTTP interface."""

    def __init__(self, client: http_client.TimeoutClient) -> None:
        self._client = client

    async def read(self) -> Result[WeightList, exceptions.WeightStoreError]:
        """Read the list of weights."""
        try:
            reply = await self._client.call('GET', '/weights')
        except Exception as error:  # noqa: BLE001 - library errors vary
            return Error(exceptions.WeightStoreError(repr(error)))
        if reply.status != 200:
            return Error(exceptions.WeightStoreError(f'status {reply.status}'))
        try:
            found = msgspec.json.decode(reply.body, type=WeightList)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return Error(exceptions.WeightStoreError(str(error)))
        if found.rate_bytes_per_s <= 0:
            return Error(exceptions.WeightStoreError('rate is not positive'))
        return Ok(found)
