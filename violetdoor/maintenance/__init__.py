"""Servers that operators leave out by hand."""
