"""A bundle as keyed entries: canonical form, digest and deltas.

Every entry is a key such as ``backends/draft-1`` and its value as
canonical JSON. The digest is the root of a tree of hashes: entries fall
into buckets by their keys' hashes, and the root covers all buckets, so a
change costs its own buckets and the root, however large the bundle.
"""

import collections.abc
import hashlib
import json
import typing

import attrs
import xxhash

from honeyport.bundle import model

Entries = dict[str, str]

_KEYED: dict[str, typing.Any] = {
    'services': model.Service,
    'backends': model.Backend,
    'models': model.Model,
    'accounts': model.Account,
    'routes': model.Route,
}
_SINGLE: dict[str, typing.Any] = {
    'signers': model.Signers,
    'timing': model.Timing,
    'limits': model.Limits,
    'requests': model.RequestLimits,
}
_BUCKETS = 256
_EMPTY = hashlib.sha256(b'').digest()


@attrs.frozen
class Delta:
    """What leads from one version to another."""

    base: int
    version: int
    put: Entries
    removed: tuple[str, ...]


class EntrySet:
    """All entries of a version; never changed, shared between versions.

    :param entries: key to canonical JSON
    """

    def __init__(self, entries: Entries) -> None:
        self._entries = entries
        self._keys: dict[int, frozenset[str]] = _bucket_keys(entries)
        self._hashes = [_EMPTY] * _BUCKETS
        for bucket in self._keys:
            self._hashes[bucket] = self._hash(bucket)

    @property
    def entries(self) -> Entries:
        """The entries; not to be changed."""
        return self._entries

    def digest(self, version: int) -> str:
        """Return the digest of these entries as a version."""
        root = hashlib.sha256(f'honeyport {version}\n'.encode())
        root.update(b''.join(self._hashes))
        return root.hexdigest()

    def apply(self, delta: Delta) -> 'EntrySet':
        """Return the entries after a delta."""
        changed = EntrySet.__new__(EntrySet)
        changed._entries = dict(self._entries)
        changed._keys = dict(self._keys)
        changed._hashes = list(self._hashes)
        touched = set()
        for key in delta.removed:
            changed._entries.pop(key, None)
            bucket = _bucket(key)
            touched.add(bucket)
            changed._keys[bucket] = changed._keys.get(bucket, frozenset()) - {
                key
            }
        for key, value in delta.put.items():
            changed._entries[key] = value
            bucket = _bucket(key)
            touched.add(bucket)
            changed._keys[bucket] = changed._keys.get(bucket, frozenset()) | {
                key
            }
        for bucket in touched:
            changed._hashes[bucket] = changed._hash(bucket)
        return changed

    def _hash(self, bucket: int) -> bytes:
        found = sorted(self._keys[bucket])
        pairs = [(key, self._entries[key]) for key in found]
        text = canonical(pairs) if pairs else ''
        return hashlib.sha256(text.encode()).digest()


def to_entries(bundle: model.Bundle) -> Entries:
    """Return the entries of a bundle."""
    entries = {
        name: canonical(attrs.asdict(getattr(bundle, name)))
        for name in _SINGLE
    }
    for section in _KEYED:
        for name, value in getattr(bundle, section).items():
            entries[f'{section}/{name}'] = canonical(attrs.asdict(value))
    return entries


def from_entries(version: int, entries: Entries) -> model.Bundle:
    """Return the bundle that entries make up."""
    empty = model.Bundle(
        version=version,
        signers=model.Signers(keys={}),
        services={},
        backends={},
    )
    return apply_delta(empty, Delta(0, version, entries, ()))


def timing(entries: Entries) -> model.Timing:
    """Return one part of a bundle, without reading the rest."""
    text = entries.get('timing')
    return _structure(model.Timing, text) if text else model.Timing()


def apply_delta(bundle: model.Bundle, delta: Delta) -> model.Bundle:
    """Return a bundle after a delta; what did not change is shared."""
    sections = {name: dict(getattr(bundle, name)) for name in _KEYED}
    singles = {name: getattr(bundle, name) for name in _SINGLE}
    for key in delta.removed:
        section, _, name = key.partition('/')
        sections[section].pop(name, None)
    for key, text in delta.put.items():
        section, _, name = key.partition('/')
        if name:
            sections[section][name] = _structure(_KEYED[section], text)
        else:
            singles[section] = _structure(_SINGLE[section], text)
    return model.Bundle(version=delta.version, **sections, **singles)


def digest(version: int, entries: Entries) -> str:
    """Return the digest of a version's entries, in hexadecimal."""
    return EntrySet(entries).digest(version)


def diff(base: int, old: Entries, version: int, new: Entries) -> Delta:
    """Return what to change in ``old`` to get ``new``."""
    put = {key: value for key, value in new.items() if old.get(key) != value}
    removed = tuple(sorted(key for key in old if key not in new))
    return Delta(base, version, put, removed)


def canonical(value: typing.Any) -> str:
    """Return JSON with sorted keys and no spaces."""
    return json.dumps(
        value, sort_keys=True, separators=(',', ':'), ensure_ascii=False
    )


def _structure(cls: typing.Any, text: str) -> typing.Any:
    """Return the attrs object that an entry's JSON stands for."""
    values = json.loads(text)
    lists = {key for key, value in values.items() if isinstance(value, list)}
    for key in lists:
        values[key] = tuple(values[key])
    return cls(**values)


def _bucket(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % _BUCKETS


def _bucket_keys(
    entries: collections.abc.Iterable[str],
) -> dict[int, frozenset[str]]:
    keys: dict[int, set[str]] = {}
    for key in entries:
        keys.setdefault(_bucket(key), set()).add(key)
    return {bucket: frozenset(found) for bucket, found in keys.items()}
