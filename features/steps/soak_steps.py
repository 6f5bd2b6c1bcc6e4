"""Steps that run the soak as a subprocess."""

import os
import pathlib
import subprocess
import sys

import behave

from honeyport import local

_ROOT = pathlib.Path(__file__).parent.parent.parent


@behave.when('the soak runs with seed {seed:d}')
def step_run_soak(context, seed):
    context.soak = subprocess.run(
        [sys.executable, '-m', 'soak', 'play', str(seed)],
        cwd=_ROOT,
        # On the host of this scenario: parallel runs need distinct ports.
        env={**os.environ, 'HONEYPORT_SOAK_HOST': local.HOST},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


@behave.then('no invariant is violated')
def step_no_violation(context):
    assert not context.soak.returncode, context.soak.stdout
