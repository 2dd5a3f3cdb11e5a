"""Exception classes of walnutport, with one base class for each layer.

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
    'AppendConflict',
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
    """Received bytes cannot be decoded as the expected message."""


class UnknownMessage(CodecError):
    """A message of a kind that only later builds know.

    :param kind: kind that the message names.
    """

    def __init__(self, kind: str) -> None:
        super().__init__(f'unknown kind of message: {kind!r}')
        self.kind = kind


class LogServiceError(WalnutportError):
    """Base class of the errors of the log service."""


class LogUnavailable(LogServiceError):
    """The log service refused or did not accept the call; nothing changed."""


class AppendAmbiguous(LogServiceError):
    """The reply to an append was lost: the record may be in the log."""


class AppendConflict(LogServiceError):
    """Others have appended since the offset that an append requires."""


class RecordsExpired(LogServiceError):
    """The requested offset is older than the retained records.

    :param first_offset: first offset that can still be read.
    """

    def __init__(self, message: str, first_offset: int) -> None:
        super().__init__(message)
        self.first_offset = first_offset


class HostListError(WalnutportError):
    """The host list could not be read."""


class TargetError(WalnutportError):
    """Base class of the errors of an attempt on a target."""


class NotSent(TargetError):
    """No byte of the attempt was written to a target connection."""


class AttemptLost(TargetError):
    """The attempt was sent and its outcome is unknown."""


class TargetRefused(TargetError):
    """The target responded with an error status.

    :param status: HTTP status of the response.
    """

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class ContentQuarantined(TargetError):
    """The attempt was cancelled because its content crashes targets."""


class RequestError(WalnutportError):
    """A caller's request is invalid.

    :param status: HTTP status of the response to the caller.
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
    """No complete response arrived on an HTTP channel.

    :param written: whether any byte of the request was written.
    :param malformed: whether the received bytes were not a valid response.
    :param timed_out: whether the timeout for the response had passed.
    :param oversized: whether the response was cut off as it exceeded a limit.
    :param refused: whether the peer has refused the connection.
    """

    def __init__(
        self,
        message: str,
        *,
        written: bool,
        malformed: bool = False,
        timed_out: bool = False,
        oversized: bool = False,
        refused: bool = False,
    ) -> None:
        super().__init__(message)
        self.oversized = oversized
        self.refused = refused
        self.written = written
        self.malformed = malformed
        self.timed_out = timed_out


class WireError(WalnutportError):
    """A header, record or message of another writer cannot be decoded."""


class StagesRefused(WalnutportError):
    """The stages of a request were refused or abandoned.

    :param retry_after_s: delay after which the caller may retry.
    :param forecast_s: forecast of the owner for the time to the response; 0
        if unknown.
    :param team_standing: demand of the team relative to its share, as the
        owner measured it; empty if unknown.
    :param spent_s: time that earlier attempts of the request took; 0 if none
        is known.
    :param reserved: whether the owner holds a place for the return.
    :param kind_standing: demand of the kind of request relative to its share;
        empty if unknown.
    """

    def __init__(
        self,
        reason: str,
        retry_after_s: float,
        forecast_s: float = 0.0,
        team_standing: str = '',
        spent_s: float = 0.0,
        reserved: bool = False,
        kind_standing: str = '',
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.forecast_s = forecast_s
        self.team_standing = team_standing
        self.spent_s = spent_s
        self.reserved = reserved
        self.kind_standing = kind_standing
