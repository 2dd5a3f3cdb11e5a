"""Client of the weight store: its models and its rate limit."""

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

    :param bytes: size that a load transfers from the store.
    :param adapters: names of the adapters of the model.
    """

    name: str
    version: str
    bytes: int
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WeightList:
    """Models in the weight store.

    :param rate_bytes_per_s: rate limit shared by all loads.
    """

    rate_bytes_per_s: float
    models: tuple[Weights, ...] = ()


class HttpWeightStore:
    """Weight store behind its HTTP interface."""

    def __init__(self, client: http_client.TimeoutClient) -> None:
        self._client = client

    async def read(self) -> Result[WeightList, exceptions.WeightStoreError]:
        """Read the list of models and the rate limit."""
        try:
            reply = await self._client.call('GET', '/weights')
        except Exception as error:  # noqa: BLE001 - library errors vary
            return Error(exceptions.WeightStoreError(repr(error)))
        if reply.status != 200:
            return Error(exceptions.WeightStoreError(f'status {reply.status}'))
        try:
            weight_list = msgspec.json.decode(reply.body, type=WeightList)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return Error(exceptions.WeightStoreError(str(error)))
        if weight_list.rate_bytes_per_s <= 0:
            return Error(
                exceptions.WeightStoreError('rate_bytes_per_s is not positive')
            )
        return Ok(weight_list)
