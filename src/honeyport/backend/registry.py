"""The kinds of backend servers; one client class for each.

A new kind is a module with a class under :func:`register`.
"""

import typing

import attrs

from honeyport import exchange


@attrs.frozen
class Load:
    """What a backend server says of itself, ``age_s`` seconds late."""

    running: int = 0
    waiting: int = 0
    age_s: float = 0.0


class Client(typing.Protocol):
    """A router's client of one backend server."""

    def answer(self, call: exchange.Call) -> exchange.Answer:
        """Send a call and yield its answer's frames."""

    async def cancel(self, request_id: str) -> None:
        """Stop a request that nobody waits for."""

    async def probe(self) -> Load:
        """Ask for its load; raises if it does not answer."""

    def close(self) -> None:
        """Close its connections."""


Factory = typing.Callable[[str, str], Client]

_KINDS: dict[str, Factory] = {}

F = typing.TypeVar('F', bound=Factory)


def register(kind: str) -> typing.Callable[[F], F]:
    """Enter the client class of a kind."""

    def decorate(factory: F) -> F:
        _KINDS[kind] = factory
        return factory

    return decorate


def create(kind: str, name: str, address: str) -> Client:
    """Return a client of a backend server.

    :param kind: as in the bundle's services
    """
    return _KINDS[kind](name, address)
