"""Blocking HTTP calls to hosts and targets, for tests and probes."""

import http.client

import msgspec

__all__ = ['request_json', 'get_json', 'post_entry', 'run_stage']

_TIMEOUT_S = 10.0


def request_json(
    address: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict]:
    """Send a POST with a JSON body, or a GET without one.

    Each call opens a new connection.

    :param address: ``ip:port``.
    :returns: status and JSON object of the response.
    """
    connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_S)
    try:
        method = 'GET' if body is None else 'POST'
        data = None if body is None else msgspec.json.encode(body)
        connection.request(method, path, data, headers or {})
        reply = connection.getresponse()
        return reply.status, msgspec.json.decode(reply.read() or b'{}')
    finally:
        connection.close()


def get_json(address: str, path: str) -> dict:
    """Return the JSON object at a path."""
    return request_json(address, path)[1]


def post_entry(
    address: str,
    token: str,
    body: object,
    entry_id: str = 'summaries',
    **headers: str,
) -> tuple[int, dict]:
    """Call an entry; underscores in header names become hyphens."""
    named = {name.replace('_', '-'): value for name, value in headers.items()}
    return request_json(
        address,
        f'/v1/entries/{entry_id}',
        body,
        {'authorization': f'Bearer {token}', **named},
    )


def run_stage(address: str, stage: str, data: object) -> object:
    """Run a stage on a target directly and return its output."""
    return request_json(address, '/v1/run', {'stage': stage, 'input': data})[
        1
    ]['output']
