"""Warn if no run in the journal was of the present source.

``make played`` and CI print the warning; it never fails a build.
"""

import hashlib
import json
import pathlib
import subprocess
import sys

# The files that a run depends on.
_SOURCE_PATHS = ('src', 'launch.py', 'deploy/system.toml', 'requirements.txt')
# The newest entries may be of copies with other sources.
_MAX_ENTRIES = 40
_ENTRY_PATTERN = '????????T??????-*.json'


def warning(root: pathlib.Path) -> str:
    """Return a warning if no run was of the present source, else ``''``."""
    entries = sorted((root / 'journal').glob(_ENTRY_PATTERN))
    if not entries:
        return 'played: the journal has no run'
    smallest: list[str] | None = None
    for path in reversed(entries[-_MAX_ENTRIES:]):
        entry = json.loads(path.read_text(encoding='utf-8'))
        if not _is_known(root, _base_commit(entry)):
            continue  # a run of an unknown commit
        changed = _changed(root, entry)
        if not changed:
            return ''
        if smallest is None or len(changed) < len(smallest):
            smallest = changed
    if smallest is None:
        return (
            'played: no run in the journal is of a commit in this repository'
        )
    return (
        f'played: {len(smallest)} files differ from the nearest run in the '
        'journal, so no figure applies to this source: ' + ', '.join(smallest)
    )


def _base_commit(entry: dict) -> str:
    """Return the commit to which the files changed in a run are relative."""
    return (entry.get('tree') or {}).get('base') or entry['head']


def _is_known(root: pathlib.Path, commit: str) -> bool:
    command = [
        'git',
        '-C',
        str(root),
        'cat-file',
        '-e',
        f'{commit}^{{commit}}',
    ]
    return subprocess.run(command, capture_output=True).returncode == 0


def _changed(root: pathlib.Path, entry: dict) -> list[str]:
    """Return the files that differ from those at the start of a run."""
    tree = entry.get('tree') or {}
    recorded = {file['path']: file['sha256'] for file in tree.get('files', ())}
    names = set(
        _git(
            root,
            'diff',
            '--name-only',
            _base_commit(entry),
            '--',
            *_SOURCE_PATHS,
        )
    )
    names |= set(
        _git(
            root,
            'ls-files',
            '--others',
            '--exclude-standard',
            '--',
            *_SOURCE_PATHS,
        )
    )
    names |= {name for name in recorded if name.startswith(_SOURCE_PATHS)}
    return sorted(
        name
        for name in names
        if name not in recorded or _digest(root / name) != recorded[name]
    )


def _git(root: pathlib.Path, *arguments: str) -> list[str]:
    result = subprocess.run(
        ['git', '-C', str(root), *arguments],
        capture_output=True,
        text=True,
        check=True,
    )
    return result.stdout.splitlines()


def _digest(path: pathlib.Path) -> str | None:
    if not path.is_file():
        return None
    return hashlib.sha256(path.read_bytes()).hexdigest()


def main() -> int:
    """Print the warning, or that a run was of this source."""
    try:
        message = warning(pathlib.Path(__file__).parent.parent)
    except (OSError, ValueError, subprocess.CalledProcessError) as error:
        message = f'played: the journal cannot be compared: {error!r}'
    print(message or 'played: a run in the journal is of this source')
    return 0


if __name__ == '__main__':
    sys.exit(main())
