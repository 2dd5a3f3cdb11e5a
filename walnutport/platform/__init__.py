"""Adapter to the platform of the installations.

It holds names, formats and calls and decides nothing. Everything that the
platform sends is decoded here, once, into the types of ``walnutport.world``.
"""
