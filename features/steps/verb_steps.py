"""Steps that run the command line in a process of its own."""

import subprocess
import sys

import behave

_TIMEOUT_S = 20.0


@behave.when('"honeyport {words}" is run')
def step_run(context, words):
    context.completed = subprocess.run(
        [sys.executable, '-m', 'honeyport', *_arguments(words)],
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
    )


@behave.then('the command exits with code {code:d}')
def step_exit_code(context, code):
    assert context.completed.returncode == code, context.completed


@behave.then('the help lists {verbs}')
def step_help_lists(context, verbs):
    output = context.completed.stdout + context.completed.stderr
    missing = [verb for verb in verbs.split(', ') if verb not in output]
    assert not missing, (missing, output)


@behave.then('the command prints "{code}" and "{text}"')
def step_prints(context, code, text):
    assert code in context.completed.stderr, context.completed
    assert text in context.completed.stderr, context.completed


@behave.then('the command prints no traceback')
def step_no_traceback(context):
    assert 'Traceback' not in context.completed.stderr, context.completed


def _arguments(text):
    """Return the arguments of a command line; ``alone`` stands for none."""
    return [] if text == 'alone' else text.split()
