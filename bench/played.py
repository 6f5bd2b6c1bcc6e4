"""Whether the newest run in the journal was of the source as it stands.

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
_OLDEST_FIRST = '????????T??????-*.json'


def warning(root: pathlib.Path) -> str:
    """Return what to know before a landing, or ``''``."""
    entries = sorted((root / 'journal').glob(_OLDEST_FIRST))
    if not entries:
        return 'played: the journal has no run'
    entry = json.loads(entries[-1].read_text(encoding='utf-8'))
    changed = _changed(root, entry)
    if not changed:
        return ''
    return (
        f'played: {len(changed)} files changed after the newest run in the '
        f'journal ({entries[-1].stem}), so that no figure is of this source: '
        + ', '.join(changed)
    )


def _changed(root: pathlib.Path, entry: dict) -> list[str]:
    """Return the files that are not as they were when a run began."""
    tree = entry.get('tree') or {}
    base = tree.get('base') or entry['head']
    played = {one['path']: one['sha256'] for one in tree.get('files', ())}
    names = set(_git(root, 'diff', '--name-only', base, '--', *_PARTS))
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
    print(found or 'played: the newest run in the journal is of this source')
    return 0


if __name__ == '__main__':
    sys.exit(main())
