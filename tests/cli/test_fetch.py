"""Tests of the HTTP requests of the command line."""

import http.server
import threading

import msgspec
import pytest

from walnutport.cli import fetch


@pytest.fixture
def address():
    """Serve a JSON list of ten numbers, and return the address."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:  # noqa: N802 - name set by the base class
            body = msgspec.json.encode(list(range(10)))
            self.send_response(200)
            self.send_header('content-length', str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments) -> None:
            pass

    server = http.server.HTTPServer(('127.0.0.1', 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f'127.0.0.1:{server.server_port}'
    server.shutdown()
    thread.join()
    server.server_close()


def test_document_is_decoded(address):
    """Guards against a limit that refuses what it allows."""
    assert fetch.fetch_json(address, '/', list[int]) == list(range(10))


def test_document_over_the_limit_is_named_as_such(address, monkeypatch):
    """Guards against a long document that is cut without a word.

    A cut document is malformed, or worse, decodes to something shorter.
    """
    monkeypatch.setattr(fetch, 'MAX_RESPONSE_BYTES', 20)
    with pytest.raises(fetch.FetchError, match='more than 20 bytes'):
        fetch.fetch_json(address, '/', list[int])
    monkeypatch.setattr(fetch, 'MAX_RESPONSE_BYTES', 21)
    assert fetch.fetch_json(address, '/', list[int]) == list(range(10))
