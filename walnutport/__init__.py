"""Serving system for multi-stage model pipelines.

The program is ``walnutport.cli.main``. Other programs may embed the decision
parts, which do no I/O; ``docs/embedding.md`` lists the modules that are stable
and has an example.
"""

__version__ = '0.1.0'
