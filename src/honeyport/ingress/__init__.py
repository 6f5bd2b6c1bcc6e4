"""Servers that bound what connections of clients take."""
