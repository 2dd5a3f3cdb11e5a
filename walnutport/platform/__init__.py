"""Adapter to the platform that an installation runs on.

It holds wire names, formats and calls, but no policy. Everything that the
platform sends is decoded only here, into the types of ``walnutport.world``.
"""
