"""Honeyport: a router fleet for returning chats on few, large engines."""

__version__ = '0.1.0'
