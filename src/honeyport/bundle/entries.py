"""A bundle as keyed entries: canonical form, digest and deltas.

Every entry is a key such as ``backends/draft-1`` and its value as
canonical JSON. The digest covers all entries in the order of their keys,
so two bundles are the same exactly if their digests are.
"""

import hashlib
import json
import typing

import attrs

from honeyport.bundle import model

Entries = dict[str, str]

_KEYED = ('services', 'backends', 'models', 'accounts')
_SINGLE = ('signers', 'timing', 'limits')


@attrs.frozen
class Delta:
    """What leads from one version to another."""

    base: int
    version: int
    put: Entries
    removed: tuple[str, ...]


def split(bundle: model.Bundle) -> Entries:
    """Return the entries of a bundle."""
    entries = {
        name: canonical(attrs.asdict(getattr(bundle, name)))
        for name in _SINGLE
    }
    for section in _KEYED:
        for name, value in getattr(bundle, section).items():
            entries[f'{section}/{name}'] = canonical(attrs.asdict(value))
    return entries


def join(version: int, entries: Entries) -> model.Bundle:
    """Return the bundle that entries make up."""
    tree: dict[str, typing.Any] = {'version': version}
    for section in _KEYED:
        tree[section] = {}
    for key, text in entries.items():
        section, _, name = key.partition('/')
        value = json.loads(text)
        if name:
            tree[section][name] = value
        else:
            tree[section] = value
    return _structure(tree)


def digest(version: int, entries: Entries) -> str:
    """Return the SHA-256 of a version's entries, in hexadecimal."""
    whole = canonical({'version': version, 'entries': entries})
    return hashlib.sha256(whole.encode()).hexdigest()


def difference(base: int, old: Entries, version: int, new: Entries) -> Delta:
    """Return what to change in ``old`` to get ``new``."""
    put = {key: value for key, value in new.items() if old.get(key) != value}
    removed = tuple(sorted(key for key in old if key not in new))
    return Delta(base, version, put, removed)


def apply(entries: Entries, delta: Delta) -> Entries:
    """Return the entries after a delta."""
    result = {
        key: value
        for key, value in entries.items()
        if key not in delta.removed
    }
    result.update(delta.put)
    return result


def canonical(value: typing.Any) -> str:
    """Return JSON with sorted keys and no spaces."""
    return json.dumps(
        value, sort_keys=True, separators=(',', ':'), ensure_ascii=False
    )


def _structure(tree: dict[str, typing.Any]) -> model.Bundle:
    return model.Bundle(
        version=tree['version'],
        signers=model.Signers(**tree['signers']),
        timing=model.Timing(**tree['timing']),
        limits=model.Limits(**tree['limits']),
        services=_build(model.Service, tree['services']),
        backends=_build(model.Backend, tree['backends']),
        models={
            name: model.Model(
                version=value['version'], adapters=tuple(value['adapters'])
            )
            for name, value in tree['models'].items()
        },
        accounts=_build(model.Account, tree['accounts']),
    )


def _build(
    cls: typing.Any, section: dict[str, dict[str, typing.Any]]
) -> dict[str, typing.Any]:
    return {name: cls(**value) for name, value in section.items()}
