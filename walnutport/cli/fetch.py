"""Blocking HTTP requests of the command line."""

from http import client
import urllib.error
import urllib.request

import msgspec

from walnutport import exceptions

__all__ = ['FetchError', 'fetch_json']

_TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 67_108_864


class FetchError(exceptions.WalnutportError):
    """A host or the log service gave no valid response."""


def fetch_json(
    address: str, path: str, response_type: type, body: object = None
):
    """Read a JSON document with GET, or with POST if there is a body.

    :param address: ``ip:port`` of the listener.
    :param response_type: type as which the document is decoded.
    :raises FetchError: if there is no response or it is invalid.
    """
    url = f'http://{address}{path}'
    try:
        data = None if body is None else msgspec.json.encode(body)
        with urllib.request.urlopen(url, data, _TIMEOUT_S) as reply:
            text = reply.read(MAX_RESPONSE_BYTES + 1)
        if len(text) > MAX_RESPONSE_BYTES:
            raise FetchError(
                f'{address}: the response has more than '
                f'{MAX_RESPONSE_BYTES} bytes'
            )
        return msgspec.json.decode(text, type=response_type)
    except (urllib.error.URLError, OSError, client.HTTPException) as error:
        raise FetchError(f'{address}: {error}') from error
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise FetchError(f'{address}: {error}') from error
