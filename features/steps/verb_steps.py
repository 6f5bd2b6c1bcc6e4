"""Steps about the command line as a user types it."""

import subprocess
import sys

import behave

_LONGEST_S = 20.0


@behave.when('a user types "honeyport {words}"')
def step_type(context, words):
    context.ended = subprocess.run(
        [sys.executable, '-m', 'honeyport', *_words(words)],
        capture_output=True,
        text=True,
        timeout=_LONGEST_S,
    )


@behave.then('the command ends with code {code:d}')
def step_code(context, code):
    assert context.ended.returncode == code, context.ended


@behave.then('the help names {verbs}')
def step_names(context, verbs):
    shown = context.ended.stdout + context.ended.stderr
    missing = [verb for verb in verbs.split(', ') if verb not in shown]
    assert not missing, (missing, shown)


@behave.then('the command says "{code}" and "{text}"')
def step_says(context, code, text):
    assert code in context.ended.stderr, context.ended
    assert text in context.ended.stderr, context.ended


@behave.then('the command shows no traceback')
def step_no_traceback(context):
    assert 'Traceback' not in context.ended.stderr, context.ended


def _words(text):
    """Return the words of a command line."""
    return [] if text == 'alone' else text.split()
