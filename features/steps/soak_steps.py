"""Steps about the soak, which runs as a program of its own."""

import os
import pathlib
import subprocess
import sys

import behave

from honeyport import local

_ROOT = pathlib.Path(__file__).parent.parent.parent


@behave.when('the soak plays seed {seed:d}')
def step_play(context, seed):
    context.played = subprocess.run(
        [sys.executable, '-m', 'soak', 'play', str(seed)],
        cwd=_ROOT,
        # On our own host: two runs of the suite want the same ports else.
        env={**os.environ, 'HONEYPORT_SOAK_HOST': local.HOST},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


@behave.then('no promise was broken')
def step_none_broken(context):
    assert not context.played.returncode, context.played.stdout
