"""``python -m bench [NAME ...]``: measure, write, check the bounds."""

import asyncio
import json
import pathlib
import sys

import yaml

from bench import control
from bench import hops
from bench import leader
from bench import pieces
from bench import registry
from bench import reuse
from bench import surge
from honeyport.telemetry import log as logs

REGISTERED = (pieces, hops, control, reuse, surge, leader)

_FOLDER = pathlib.Path(__file__).parent
_RESULTS = _FOLDER / 'results.json'
_BOUNDS = _FOLDER / 'bounds.yaml'


def main() -> int:
    """Run the named benches, or all; exit with 1 past a bound."""
    logs.configure('error', instance='bench')
    benches = registry.benches()
    names = sys.argv[1:] or list(benches)
    results = {}
    if _RESULTS.exists():
        results = json.loads(_RESULTS.read_text())
    for name in names:
        print(f'{name} ...', flush=True)
        figures = asyncio.run(benches[name]())
        rounded = {key: round(value, 4) for key, value in figures.items()}
        results[name] = rounded
        for key, value in rounded.items():
            print(f'  {name}.{key} = {value}')
        text = json.dumps(results, indent=2, sort_keys=True)
        _RESULTS.write_text(text + '\n')
    broken = _broken(results, names)
    for line in broken:
        print(f'past its bound: {line}')
    return 1 if broken else 0


def _broken(
    results: dict[str, registry.Figures], names: list[str]
) -> list[str]:
    """Return the figures that are past their bounds.

    A bound is a number, or the name of a figure of the same run and a
    factor.
    """
    bounds = yaml.safe_load(_BOUNDS.read_text()) or {}
    broken = []
    for path, rule in bounds.items():
        bench, _, figure = path.partition('.')
        if bench not in names:
            continue
        value = results[bench][figure]
        limit = rule.get('value', 0.0)
        if 'of' in rule:
            other, _, base = rule['of'].partition('.')
            limit = results[other][base] * rule['times']
        low = rule.get('kind') == 'at_least'
        if value < limit if low else value > limit:
            broken.append(f'{path} = {value}, bound {limit:.4f}')
    return broken


if __name__ == '__main__':
    sys.exit(main())
