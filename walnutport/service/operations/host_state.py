"""What the operators' views need to know of a host."""

from typing import Protocol

from walnutport.config import settings as config
from walnutport.service import components as host_parts
from walnutport.service.requests import caller_api
from walnutport.service.requests import caller_site

__all__ = ['HostState']


class HostState(Protocol):
    """Parts and state of a running host."""

    settings: config.HostSettings
    parts: host_parts.HostParts
    callers: caller_api.CallerApi
    caller_site: caller_site.CallerSite
    stopping: bool

    def is_ready(self) -> bool:
        """Return whether the host takes calls."""
