"""Entry host on a platform: its I/O with callers, targets, peers and store."""
