"""Steps that compare the source with the runs in the journal."""

import hashlib
import json
import subprocess

import behave

from bench import played

_FILES = ('src/a.py', 'src/b.py', 'docs/page.md')
_FIRST_RUN = '20260101T000000-1.json'
_SECOND_RUN = '20260102T000000-2.json'


@behave.given('a repository whose journal has a run of its commit')
def step_repository(context):
    step_no_run(context)
    _record_run(context, _FIRST_RUN, {})


@behave.given('a repository whose journal has no run')
def step_no_run(context):
    context.root = context.folder / 'tree'
    for name in (*_FILES, 'journal/README'):
        _write(context, name, 'committed')
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
    content = (context.root / name).read_bytes()
    _record_run(
        context, _SECOND_RUN, {name: hashlib.sha256(content).hexdigest()}
    )


@behave.when('the file {name} changes before a run and after it')
def step_changed_again(context, name):
    step_run_of_change(context, name)
    _write(context, name, 'changed again')


@behave.when('the newest run is a trial on a copy')
def step_trial(context):
    _record_run(context, _SECOND_RUN, {'src/a.py': 'digest of other contents'})


@behave.then('the warning names {files}')
def step_warning(context, files):
    warning = played.warning(context.root)
    if files == 'nothing':
        assert not warning, warning
    else:
        assert warning.endswith(f': {files}'), warning


@behave.then('the warning contains "{text}"')
def step_contains(context, text):
    warning = played.warning(context.root)
    assert text in warning, warning


def _write(context, name, text):
    path = context.root / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text, encoding='utf-8')


def _commit(context):
    _git(context, 'add', '-A')
    author = ['-c', 'user.name=t', '-c', 'user.email=t@example.com']
    _git(context, *author, 'commit', '-q', '-m', 'a commit')


def _record_run(context, name, files):
    """Write a journal entry about a run.

    :param name: file name of the entry
    :param files: path to SHA-256 of the files that differ from the commit
    """
    base = _git(context, 'rev-parse', 'HEAD').strip()
    file_entries = [
        {'path': path, 'sha256': digest} for path, digest in files.items()
    ]
    tree = {'base': base, 'files': file_entries}
    entry = {'head': base, 'tree': tree}
    _write(context, f'journal/{name}', json.dumps(entry))


def _git(context, *arguments):
    completed = subprocess.run(
        ['git', '-C', str(context.root), *arguments],
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout
