"""Retries, hedges and their budget."""
