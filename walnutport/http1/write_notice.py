"""Notice that a transport has passed all its data to the kernel."""

from collections.abc import Callable

from twisted.internet import interfaces
import zope.interface

__all__ = ['WriteNotice', 'notify_written']


@zope.interface.implementer(interfaces.IPullProducer)
class WriteNotice:
    """Producer that a transport asks for data once it has written all.

    :ivar is_pending: whether the transport still holds data.
    """

    def __init__(self, transport, on_written: Callable[[], None]) -> None:
        self._transport = transport
        self._on_written = on_written
        self._is_registered = False
        self.is_pending = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Handle the first call, at registration, and that after a write."""
        if not self._is_registered:
            self._is_registered = True
            return
        self.is_pending = False
        self._transport.unregisterProducer()
        self._on_written()

    def stopProducing(self) -> None:  # noqa: N802
        """Handle the end of the connection before all data was written."""


def notify_written(transport, on_written: Callable[[], None]) -> WriteNotice:
    """Call back once a transport has written the data it holds.

    A transport writes only after the events of the current turn of the
    reactor, and drops what it holds when its connection is aborted.

    :param transport: transport that has just been given data to write, and
        has no producer.
    :param on_written: called at most once, and not after an abort.
    """
    notice = WriteNotice(transport, on_written)
    transport.registerProducer(notice, False)
    return notice
