"""HTTP/1.1 over Twisted, with exact control over when bytes are written.

A request may have run if any of its bytes was written to a channel.
General-purpose HTTP clients hide this behind their pools and retries.
"""
