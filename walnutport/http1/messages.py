"""Types and encoders that the HTTP server and client share."""

import dataclasses

__all__ = [
    'HOP_BY_HOP_HEADERS',
    'Headers',
    'REASON_PHRASES',
    'EMPTY_HEAD',
    'ResponseHead',
    'Response',
    'encode_request',
    'encode_response_head',
]

#: Pairs of a lower-case header name and its value, in order of arrival.
Headers = list[tuple[bytes, bytes]]

# Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)

REASON_PHRASES = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header.

        :param name: name of the header in lower case.
        """
        for found, value in self.headers:
            if found == name:
                return value
        return None


#: Placeholder for the head of a response that did not arrive.
EMPTY_HEAD = ResponseHead(0, [])


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Complete response."""

    head: ResponseHead
    body: bytes

    @property
    def status(self) -> int:
        """Status code of the response."""
        return self.head.status


def encode_request(
    method: bytes, path: bytes, headers: Headers, body: bytes
) -> bytes:
    """Encode a request.

    The content length is left out of a GET, HEAD or DELETE without a body.
    """
    lines = [b'%s %s HTTP/1.1\r\n' % (method, path)]
    lines += [b'%s: %s\r\n' % header for header in headers]
    if body or method not in (b'GET', b'HEAD', b'DELETE'):
        lines.append(b'content-length: %d\r\n' % len(body))
    lines.append(b'\r\n')
    lines.append(body)
    return b''.join(lines)


def encode_response_head(status: int, headers: Headers) -> bytes:
    """Encode the status line and headers of a response."""
    lines = [
        b'HTTP/1.1 %d %s\r\n' % (status, REASON_PHRASES.get(status, b'Status'))
    ]
    lines += [b'%s: %s\r\n' % header for header in headers]
    lines.append(b'\r\n')
    return b''.join(lines)
