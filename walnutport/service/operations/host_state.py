"""Interface through which metrics and status read a host."""

from typing import Protocol

from walnutport.config import settings as config
from walnutport.service import components as host_components
from walnutport.service.requests import caller_api
from walnutport.service.requests import caller_site

__all__ = ['HostState']


class HostState(Protocol):
    """Components and state of a running host."""

    settings: config.HostSettings
    components: host_components.HostComponents
    callers: caller_api.CallerApi
    caller_site: caller_site.CallerSite
    stopping: bool

    def is_ready(self) -> bool:
        """Return whether the host accepts new calls."""
