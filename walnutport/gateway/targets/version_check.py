"""Checks that a target still runs the version that is registered.

A stream may go on only at the software version that began it, and targets do
not check this. A target that starts again keeps its id and its address, and
its registration is read some time later.
"""

from collections.abc import Callable
import time

from walnutport import exceptions
from walnutport.gateway.state import target_confirmation
from walnutport.http1 import channel_pool
from walnutport.platform import target_probe
from walnutport.world import registrations

__all__ = ['VersionCheck']

# As for the store.
REPORT_LIMIT_S = 0.3


class VersionCheck:
    """Confirms targets with the store, or with themselves while it is away.

    :param find_target: returns the target that is registered under an id.
    """

    def __init__(
        self,
        reactor,
        log,
        pool: channel_pool.ChannelPool,
        confirmation: target_confirmation.TargetConfirmation,
        find_target: Callable[[str], registrations.RegisteredTarget | None],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._pool = pool
        self._confirmation = confirmation
        self._find_target = find_target

    async def is_current(
        self, target: registrations.RegisteredTarget, request_id: str
    ) -> bool:
        """Return whether the run of a target is the one that is registered.

        Asked after the channel to the target is open: a target that starts
        again from then on ends the channel.

        :param request_id: request that depends on it, for the log.
        """
        is_confirmed = await self._confirmation.confirm(time.monotonic())
        found = self._find_target(target.target_id)
        is_current = (
            found is not None
            and found.incarnation_key == target.incarnation_key
            and found.software_version == target.software_version
        )
        incarnation = None
        if is_current and not is_confirmed:
            incarnation = await self._ask(target)
            is_current = incarnation in (None, target.incarnation)
        self._log.routine(
            'version_checked',
            id=request_id,
            target=target.target_id,
            current=is_current,
            source='store'
            if is_confirmed
            else 'registry'
            if incarnation is None
            else 'target',
        )
        return is_current

    async def _ask(self, target: registrations.RegisteredTarget) -> int | None:
        """Return the start that a target reports, None if it does not."""
        try:
            response = await channel_pool.fetch(
                self._reactor,
                self._pool,
                target.address,
                target_probe.encode_report_request(target.address),
                REPORT_LIMIT_S,
            )
            return target_probe.decode_report(response)
        except (exceptions.ChannelError, exceptions.WireError) as problem:
            self._log.notable(
                'target_report_missing',
                target=target.target_id,
                problem=str(problem),
            )
            return None
