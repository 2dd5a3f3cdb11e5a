"""Scheduling of the stages that precede the execution of a request.

The pieces of many requests are batched into calls to stage targets. The
modules of this package decide which requests are admitted and which pieces go
into which call; they do no I/O.
"""
