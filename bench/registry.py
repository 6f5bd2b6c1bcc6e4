"""The benches, filled by a decorator."""

import collections.abc
import typing

Figures = dict[str, float]
Bench = collections.abc.Callable[[], collections.abc.Awaitable[Figures]]

_BENCHES: dict[str, Bench] = {}

B = typing.TypeVar('B', bound=Bench)


def register(name: str) -> collections.abc.Callable[[B], B]:
    """Enter a bench; its figures are named ``NAME.FIGURE``."""

    def decorate(bench: B) -> B:
        _BENCHES[name] = bench
        return bench

    return decorate


def benches() -> dict[str, Bench]:
    """Return all benches by name."""
    return dict(_BENCHES)
