"""Registry of the benchmarks."""

import collections.abc
import typing

Figures = dict[str, float]
Bench = collections.abc.Callable[[], collections.abc.Awaitable[Figures]]

_BENCHES: dict[str, Bench] = {}

B = typing.TypeVar('B', bound=Bench)


def register(name: str) -> collections.abc.Callable[[B], B]:
    """Register a benchmark; its figures are named ``NAME.FIGURE``."""

    def add(bench: B) -> B:
        _BENCHES[name] = bench
        return bench

    return add


def benches() -> dict[str, Bench]:
    """Return all benchmarks by name, in order of registration."""
    return dict(_BENCHES)
