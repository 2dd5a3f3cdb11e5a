"""Stand-in for the platform's list of hosts and targets, which lags."""

import dataclasses

import klein
import msgspec
from twisted.internet import reactor
from twisted.web import http

__all__ = ['ListServer', 'ListServerSettings', 'ListedHost', 'ListedTarget']


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """A host in the list."""

    host_id: str
    data_centre: str
    ip: str
    peer_port: int
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target in the list."""

    target_id: str
    service: str
    data_centre: str
    ip: str
    port: int
    slots: int
    state: str = 'live'


@dataclasses.dataclass(frozen=True, slots=True)
class ListServerSettings:
    """Settings of the list server.

    :param lag_s: delay until a change shows in the list.
    """

    port: int
    ip: str = '127.0.0.1'
    lag_s: float = 0.0
    hosts: tuple[ListedHost, ...] = ()
    targets: tuple[ListedTarget, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    hosts: tuple[ListedHost, ...] = ()
    targets: tuple[ListedTarget, ...] = ()
    removed: tuple[str, ...] = ()


class ListServer:
    """Serves the list and accepts changes to it."""

    app = klein.Klein()

    def __init__(self, settings: ListServerSettings) -> None:
        self._lag_s = settings.lag_s
        self._version = 1
        self._hosts_by_id = {host.host_id: host for host in settings.hosts}
        self._targets_by_id = {
            target.target_id: target for target in settings.targets
        }

    @app.route('/v1/list')
    def get_list(self, request) -> bytes:
        """Return the list, or status 304 if the reader has this version."""
        if request.setETag(b'"%d"' % self._version) is http.CACHED:
            return b''
        return msgspec.json.encode(
            {
                'hosts': list(self._hosts_by_id.values()),
                'targets': list(self._targets_by_id.values()),
            }
        )

    @app.route('/control', methods=['POST'])
    def change_list(self, request) -> bytes:
        """Add, replace or remove hosts and targets after the lag."""
        change = msgspec.json.decode(request.content.read(), type=_Change)
        reactor.callLater(self._lag_s, self._apply, change)
        return b'{}'

    def _apply(self, change: _Change) -> None:
        self._version += 1
        for host in change.hosts:
            self._hosts_by_id[host.host_id] = host
        for target in change.targets:
            self._targets_by_id[target.target_id] = target
        for removed_id in change.removed:
            self._hosts_by_id.pop(removed_id, None)
            self._targets_by_id.pop(removed_id, None)
