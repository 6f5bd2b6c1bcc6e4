"""Clients of backend servers, one module for each kind of service."""
