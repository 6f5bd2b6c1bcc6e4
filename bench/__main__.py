"""Run benchmarks, write their results and check the regression bounds.

Usage: ``python -m bench [NAME ...]``.
"""

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
    """Run the named benchmarks, or all.

    :return: exit status, 1 if a figure exceeds its bound
    """
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
    violations = _find_violations(results, names)
    for violation in violations:
        print(f'bound exceeded: {violation}')
    return 1 if violations else 0


def _find_violations(
    results: dict[str, registry.Figures], names: list[str]
) -> list[str]:
    """Return a message for each figure that exceeds its bound.

    A bound is a number, or a factor of another figure (``BENCH.FIGURE``).
    """
    bounds = yaml.safe_load(_BOUNDS.read_text()) or {}
    violations = []
    for path, bound in bounds.items():
        bench, _, figure = path.partition('.')
        if bench not in names:
            continue
        value = results[bench][figure]
        limit = bound.get('value', 0.0)
        if 'of' in bound:
            base_bench, _, base_figure = bound['of'].partition('.')
            limit = results[base_bench][base_figure] * bound['times']
        is_minimum = bound.get('kind') == 'at_least'
        if value < limit if is_minimum else value > limit:
            violations.append(f'{path} = {value}, bound {limit:.4f}')
    return violations


if __name__ == '__main__':
    sys.exit(main())
