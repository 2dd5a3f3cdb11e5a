"""Detection of a head that begins with a part of an earlier response.

When a peer writes a part of an earlier response and then the true one, both
are read as one head: its status and first fields are those of the earlier
response, the status line of the true one is in the middle of the reason phrase
or of a field, and its last fields name the present request.
"""

import re

from walnutport.http1 import messages

__all__ = ['is_joined']

_STATUS_LINE = re.compile(rb'HTTP/1\.[01] +[1-5][0-9][0-9](?: |$)')


def is_joined(reason: bytes, headers: messages.Headers) -> bool:
    """Return whether a status line is inside a head.

    A field whose value is the status line of another response is taken for a
    joint as well. So this is to be asked only where a part of an earlier
    response may precede the head.

    :param reason: reason phrase of the head.

    >>> is_joined(b'OK', [(b'via', b'HTTP/1.1 proxy')])
    False
    >>> is_joined(b'OK', [(b'x', b'aHTTP/1.1 200 OK')])
    True
    """
    return bool(_STATUS_LINE.search(reason)) or any(
        b'HTTP/1.' in value and _STATUS_LINE.search(value)
        for _, value in headers
    )
