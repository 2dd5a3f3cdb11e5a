"""Stages that must be done before a request runs.

The pieces of many requests share calls to stage targets. The modules here
decide which pieces go into which call and which requests are taken at all;
they do no I/O.
"""
