"""Catalogue entries, their versions and their fold from the log."""
