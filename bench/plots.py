"""Plot the latest results: ``python -m bench.plots FOLDER``."""

import json
import pathlib
import sys

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

_RESULTS = pathlib.Path(__file__).parent / 'results.json'
_POLICIES = ('fleet', 'hash', 'least', 'random')


def main() -> None:
    """Plot cache reuse against load skew for the fleet and the baselines."""
    reuse = json.loads(_RESULTS.read_text())['reuse']
    figure, axes = pyplot.subplots(figsize=(6, 4))
    for policy in _POLICIES:
        skew = reuse[f'{policy}_skew_p50']
        share = reuse[f'{policy}_reuse_of_possible']
        axes.scatter(skew, share)
        axes.annotate(policy, (skew, share))
    axes.set_xlabel('skew: highest load over the mean (p50)')
    axes.set_ylabel('reuse, of what is possible')
    axes.set_title('40 engines, one killed every 5 s')
    path = pathlib.Path(sys.argv[1]) / 'reuse.png'
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=120)
    print(path)


if __name__ == '__main__':
    main()
