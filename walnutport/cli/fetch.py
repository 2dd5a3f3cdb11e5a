"""Blocking reads of hosts' operator listeners for the command line."""

import urllib.error
import urllib.request

import msgspec

from walnutport import exceptions

__all__ = ['FetchError', 'fetch_json']

_TIMEOUT_S = 5.0
_MAX_BYTES = 67_108_864


class FetchError(exceptions.WalnutportError):
    """A host did not answer an operator's request."""


def fetch_json(address: str, path: str, answer_type: type):
    """Read a JSON document from a host.

    :param address: ``ip:port`` of the operators' listener.
    :param answer_type: data class that the document must fit.
    :raises FetchError: if the host does not answer or answers otherwise.
    """
    url = f'http://{address}{path}'
    try:
        with urllib.request.urlopen(url, timeout=_TIMEOUT_S) as reply:
            body = reply.read(_MAX_BYTES)
        return msgspec.json.decode(body, type=answer_type)
    except (urllib.error.URLError, OSError) as error:
        raise FetchError(f'{address}: {error}') from error
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise FetchError(f'{address}: {error}') from error
