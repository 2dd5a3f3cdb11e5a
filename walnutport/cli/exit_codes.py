"""Exit codes of every subcommand."""

__all__ = ['CONFLICT', 'FAILED', 'INVALID', 'OK', 'UNAVAILABLE', 'USAGE']

OK = 0
FAILED = 1
USAGE = 2
INVALID = 3
CONFLICT = 4
UNAVAILABLE = 5
