"""Steps about the journal of runs, against the source as it stands."""

import hashlib
import json
import subprocess

import behave

from bench import played

_FILES = ('src/a.py', 'src/b.py', 'docs/page.md')
_FIRST = '20260101T000000-1.json'
_SECOND = '20260102T000000-2.json'


@behave.given('a tree whose journal has a run of it as it was committed')
def step_tree(context):
    step_no_run(context)
    _note_run(context, _FIRST, {})


@behave.given('a tree without a run')
def step_no_run(context):
    context.root = context.folder / 'tree'
    for name in (*_FILES, 'journal/README'):
        _write(context, name, 'as it was')
    _git(context, 'init', '-q')
    _commit(context)


@behave.when('nothing changes')
def step_nothing(context):
    pass


@behave.when('the file {name} is changed')
@behave.when('the file {name} is added')
def step_changed(context, name):
    _write(context, name, 'changed')


@behave.when('the file {name} changes in a commit')
def step_committed(context, name):
    _write(context, name, 'changed')
    _commit(context)


@behave.when('the file {name} is removed')
def step_removed(context, name):
    (context.root / name).unlink()


@behave.when('the file {name} changes before a run')
def step_run_of_change(context, name):
    _write(context, name, 'changed')
    text = (context.root / name).read_bytes()
    _note_run(context, _SECOND, {name: hashlib.sha256(text).hexdigest()})


@behave.when('the file {name} changes before a run and after it')
def step_changed_again(context, name):
    step_run_of_change(context, name)
    _write(context, name, 'changed again')


@behave.when('a trial on a copy is the newest run')
def step_trial(context):
    _note_run(context, _SECOND, {'src/a.py': 'of other contents'})


@behave.then('the warning names {files}')
def step_warning(context, files):
    found = played.warning(context.root)
    if files == 'nothing':
        assert not found, found
    else:
        assert found.endswith(f': {files}'), found


@behave.then('the warning says "{text}"')
def step_says(context, text):
    found = played.warning(context.root)
    assert text in found, found


def _write(context, name, text):
    path = context.root / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text, encoding='utf-8')


def _commit(context):
    _git(context, 'add', '-A')
    author = ['-c', 'user.name=t', '-c', 'user.email=t@example.com']
    _git(context, *author, 'commit', '-q', '-m', 'a commit')


def _note_run(context, name, files):
    base = _git(context, 'rev-parse', 'HEAD').strip()
    listed = [{'path': one, 'sha256': sum_} for one, sum_ in files.items()]
    tree = {'base': base, 'files': listed}
    entry = {'head': base, 'tree': tree}
    _write(context, f'journal/{name}', json.dumps(entry))


def _git(context, *arguments):
    found = subprocess.run(
        ['git', '-C', str(context.root), *arguments],
        capture_output=True,
        text=True,
        check=True,
    )
    return found.stdout
