"""All exception classes of walnutport, one base class for each layer.

A layer raises only its own errors and converts those of the layer below.
"""

__all__ = [
    'WalnutportError',
    'SettingsError',
    'CatalogueError',
    'CodecError',
    'LogServiceError',
    'LogUnavailable',
    'AppendAmbiguous',
    'RecordsExpired',
    'HostListError',
    'TargetError',
    'NotSent',
    'AttemptLost',
    'TargetRefused',
    'ContentQuarantined',
    'RequestError',
    'PeerError',
    'OrderError',
    'WeightStoreError',
    'ChannelError',
    'StagesRefused',
    'WireError',
]


class WalnutportError(Exception):
    """Base class of every error raised by walnutport."""


class SettingsError(WalnutportError):
    """A settings file is missing, malformed or fails validation."""


class CatalogueError(WalnutportError):
    """A catalogue record or entry is invalid."""


class CodecError(WalnutportError):
    """Bytes from outside do not decode into the expected message."""


class LogServiceError(WalnutportError):
    """Base class of the typed outcomes of the log service."""


class LogUnavailable(LogServiceError):
    """The log service refused or did not take the call: no effect."""


class AppendAmbiguous(LogServiceError):
    """The answer to an append was lost: the record may be in the log."""


class RecordsExpired(LogServiceError):
    """The requested offset is older than the retained records.

    :param first_offset: the first offset that can still be read.
    """

    def __init__(self, message: str, first_offset: int) -> None:
        super().__init__(message)
        self.first_offset = first_offset


class HostListError(WalnutportError):
    """The host list could not be read."""


class TargetError(WalnutportError):
    """Base class of errors of an attempt on a target."""


class NotSent(TargetError):
    """No byte of the attempt was handed to a target connection."""


class AttemptLost(TargetError):
    """The attempt was sent and its outcome is unknown."""


class TargetRefused(TargetError):
    """The target answered with an error status.

    :param status: HTTP status of the answer.
    """

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class ContentQuarantined(TargetError):
    """The attempt was cancelled because its content crashes targets."""


class RequestError(WalnutportError):
    """A caller's request is invalid.

    :param status: HTTP status for the caller.
    :param reason: machine-readable reason code.
    """

    def __init__(self, message: str, status: int, reason: str) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason


class PeerError(WalnutportError):
    """A message between hosts was rejected or could not be sent."""


class WeightStoreError(WalnutportError):
    """The weight store could not be read."""


class OrderError(WalnutportError):
    """An order to a model engine was refused or could not be confirmed."""


class ChannelError(WalnutportError):
    """No complete answer came on an HTTP channel.

    :param written: whether any byte of the request was written.
    :param malformed: whether the bytes received were no HTTP answer.
    :param timed_out: whether the time for the answer was over.
    """

    def __init__(
        self,
        text: str,
        *,
        written: bool,
        malformed: bool = False,
        timed_out: bool = False,
    ) -> None:
        super().__init__(text)
        self.written = written
        self.malformed = malformed
        self.timed_out = timed_out


class WireError(WalnutportError):
    """A message of the platform does not decode."""


class StagesRefused(WalnutportError):
    """The stages of a request were refused or given up.

    :param forecast_s: when the owner expected the answer; 0 if unknown.
    :param standing: demand of the team against its share, as the owner saw
        it; empty if unknown.
    """

    def __init__(
        self,
        reason: str,
        retry_after_s: float,
        forecast_s: float = 0.0,
        standing: str = '',
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.forecast_s = forecast_s
        self.standing = standing
