"""Honeyport: a router fleet that sends chats to engines with their cache."""

__version__ = '0.1.0'
