"""HTTP/1.1 over Twisted, with exact control over when bytes are written.

Whether a request may have run depends on whether any of its bytes were
written to a channel; general clients hide that behind pools and retries.
"""
