"""Histograms and their exposition."""
