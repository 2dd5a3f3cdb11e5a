"""The entry host: Twisted services that apply the policies."""
