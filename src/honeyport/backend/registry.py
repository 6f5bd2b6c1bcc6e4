"""Registry of client classes by the kind of backend server.

A new kind is a module whose client class is decorated by :func:`register`.
"""

import typing

import attrs

from honeyport import exchange


@attrs.frozen
class Load:
    """Load that a backend server reports.

    :ivar running: requests that run
    :ivar waiting: requests that are queued
    :ivar age_s: age of the report
    """

    running: int = 0
    waiting: int = 0
    age_s: float = 0.0


class Client(typing.Protocol):
    """A router's client of one backend server."""

    def answer(self, call: exchange.Call) -> exchange.Answer:
        """Send a call and yield the frames of its answer.

        :raises errors.HoneyportError: if the answer is refused or cut
        """

    async def cancel(self, request_id: str) -> None:
        """Cancel a request whose caller has disconnected."""

    async def probe(self) -> Load:
        """Return the current load, as a health check.

        :raises errors.HoneyportError: if the probe fails
        """

    def close(self) -> None:
        """Close the idle connections."""


Factory = typing.Callable[[str, str], Client]

_FACTORIES: dict[str, Factory] = {}

F = typing.TypeVar('F', bound=Factory)


def register(kind: str) -> typing.Callable[[F], F]:
    """Return a decorator that registers a client class for a kind."""

    def decorate(factory: F) -> F:
        _FACTORIES[kind] = factory
        return factory

    return decorate


def create(kind: str, name: str, address: str) -> Client:
    """Create a client of a backend server.

    :param kind: the service's kind in the bundle
    :param address: ``IP:PORT``
    """
    return _FACTORIES[kind](name, address)
