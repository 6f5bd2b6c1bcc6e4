"""Whether a run in the journal was of the source as it stands.

By hand ``make played``; CI prints the same. It only warns: what is measured
before a landing is the maintainers' to say.
"""

import hashlib
import json
import pathlib
import subprocess
import sys

# What a run is of.
_PARTS = ('src', 'launch.py', 'deploy/system.toml', 'requirements.txt')
# The newest may be trials on copies of other sources.
_LOOKED_AT = 40
_OLDEST_FIRST = '????????T??????-*.json'


def warning(root: pathlib.Path) -> str:
    """Return what to know before a landing, or ``''``."""
    entries = sorted((root / 'journal').glob(_OLDEST_FIRST))
    if not entries:
        return 'played: the journal has no run'
    nearest: list[str] | None = None
    for path in reversed(entries[-_LOOKED_AT:]):
        entry = json.loads(path.read_text(encoding='utf-8'))
        if not _is_known(root, _base(entry)):
            continue  # of a copy whose commits never came here
        changed = _changed(root, entry)
        if not changed:
            return ''
        if nearest is None or len(changed) < len(nearest):
            nearest = changed
    if nearest is None:
        return 'played: no run in the journal is of a commit known here'
    return (
        f'played: {len(nearest)} files differ from those of the nearest run '
        'in the journal, so that no figure is of this source: '
        + ', '.join(nearest)
    )


def _base(entry: dict) -> str:
    """Return the commit that a run's changes are named against."""
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
    """Return the files that are not as they were when a run began."""
    tree = entry.get('tree') or {}
    played = {one['path']: one['sha256'] for one in tree.get('files', ())}
    names = set(_git(root, 'diff', '--name-only', _base(entry), '--', *_PARTS))
    names |= set(
        _git(root, 'ls-files', '--others', '--exclude-standard', '--', *_PARTS)
    )
    names |= {name for name in played if name.startswith(_PARTS)}
    return sorted(
        name
        for name in names
        if name not in played or _digest(root / name) != played[name]
    )


def _git(root: pathlib.Path, *arguments: str) -> list[str]:
    found = subprocess.run(
        ['git', '-C', str(root), *arguments],
        capture_output=True,
        text=True,
        check=True,
    )
    return found.stdout.splitlines()


def _digest(path: pathlib.Path) -> str | None:
    if not path.is_file():
        return None
    return hashlib.sha256(path.read_bytes()).hexdigest()


def main() -> int:
    """Print the warning, if there is one."""
    try:
        found = warning(pathlib.Path(__file__).parent.parent)
    except (OSError, ValueError, subprocess.CalledProcessError) as error:
        found = f'played: the journal cannot be compared: {error!r}'
    print(found or 'played: a run in the journal is of this source')
    return 0


if __name__ == '__main__':
    sys.exit(main())
