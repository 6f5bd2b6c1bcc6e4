"""A bundle as keyed entries: canonical form, digest and deltas.

An entry is a key such as ``backends/draft-1`` and a value in canonical JSON.
The digest is the root of a hash tree: entries are divided into buckets by the
hash of their key, and the root is the hash of all buckets. A change hashes its
own buckets and the root only, whatever the size of the bundle.
"""

import collections.abc
import hashlib
import json
import typing

import attrs
import xxhash

from honeyport.bundle import model

Entries = dict[str, str]

_KEYED_SECTIONS: dict[str, typing.Any] = {
    'services': model.Service,
    'backends': model.Backend,
    'models': model.Model,
    'accounts': model.Account,
    'routes': model.Route,
}
_SINGLE_SECTIONS: dict[str, typing.Any] = {
    'signers': model.Signers,
    'timing': model.Timing,
    'limits': model.Limits,
    'requests': model.RequestLimits,
}
_BUCKET_COUNT = 256
_EMPTY_HASH = hashlib.sha256(b'').digest()


@attrs.frozen
class Delta:
    """The difference between two versions.

    :ivar base: the older version; 0 for none
    :ivar put: entries that are new or changed
    :ivar removed: keys of removed entries
    """

    base: int
    version: int
    put: Entries
    removed: tuple[str, ...]


class EntrySet:
    """All entries of a version, with their hashes. Immutable.

    :param entries: key to canonical JSON
    """

    def __init__(self, entries: Entries) -> None:
        self._entries = entries
        self._keys_by_bucket: dict[int, frozenset[str]] = _keys_in_buckets(
            entries
        )
        self._bucket_hashes = [_EMPTY_HASH] * _BUCKET_COUNT
        for bucket in self._keys_by_bucket:
            self._bucket_hashes[bucket] = self._hash_bucket(bucket)

    @property
    def entries(self) -> Entries:
        """The entries, read-only."""
        return self._entries

    def digest(self, version: int) -> str:
        """Return the digest of the entries under a version, in hexadecimal."""
        root = hashlib.sha256(f'honeyport {version}\n'.encode())
        root.update(b''.join(self._bucket_hashes))
        return root.hexdigest()

    def apply(self, delta: Delta) -> 'EntrySet':
        """Return a new set with a delta applied."""
        changed = EntrySet.__new__(EntrySet)
        changed._entries = dict(self._entries)
        changed._keys_by_bucket = dict(self._keys_by_bucket)
        changed._bucket_hashes = list(self._bucket_hashes)
        changed_buckets = set()
        for key in delta.removed:
            changed._entries.pop(key, None)
            bucket = _bucket(key)
            changed_buckets.add(bucket)
            changed._keys_by_bucket[bucket] = changed._keys_by_bucket.get(
                bucket, frozenset()
            ) - {key}
        for key, value in delta.put.items():
            changed._entries[key] = value
            bucket = _bucket(key)
            changed_buckets.add(bucket)
            changed._keys_by_bucket[bucket] = changed._keys_by_bucket.get(
                bucket, frozenset()
            ) | {key}
        for bucket in changed_buckets:
            changed._bucket_hashes[bucket] = changed._hash_bucket(bucket)
        return changed

    def _hash_bucket(self, bucket: int) -> bytes:
        keys = sorted(self._keys_by_bucket[bucket])
        pairs = [(key, self._entries[key]) for key in keys]
        text = canonical(pairs) if pairs else ''
        return hashlib.sha256(text.encode()).digest()


def to_entries(bundle: model.Bundle) -> Entries:
    """Return the entries of a bundle."""
    entries = {
        name: canonical(attrs.asdict(getattr(bundle, name)))
        for name in _SINGLE_SECTIONS
    }
    for section in _KEYED_SECTIONS:
        for name, value in getattr(bundle, section).items():
            entries[f'{section}/{name}'] = canonical(attrs.asdict(value))
    return entries


def from_entries(version: int, entries: Entries) -> model.Bundle:
    """Return the bundle that consists of entries."""
    empty = model.Bundle(
        version=version,
        signers=model.Signers(keys={}),
        services={},
        backends={},
    )
    return apply_delta(empty, Delta(0, version, entries, ()))


def timing(entries: Entries) -> model.Timing:
    """Return the timing of a bundle without parsing its other entries."""
    text = entries.get('timing')
    return _parse(model.Timing, text) if text else model.Timing()


def apply_delta(bundle: model.Bundle, delta: Delta) -> model.Bundle:
    """Return a bundle with a delta applied; unchanged parts are shared."""
    sections = {name: dict(getattr(bundle, name)) for name in _KEYED_SECTIONS}
    singles = {name: getattr(bundle, name) for name in _SINGLE_SECTIONS}
    for key in delta.removed:
        section, _, name = key.partition('/')
        sections[section].pop(name, None)
    for key, text in delta.put.items():
        section, _, name = key.partition('/')
        if name:
            sections[section][name] = _parse(_KEYED_SECTIONS[section], text)
        else:
            singles[section] = _parse(_SINGLE_SECTIONS[section], text)
    return model.Bundle(version=delta.version, **sections, **singles)


def digest(version: int, entries: Entries) -> str:
    """Return the digest of a version's entries, in hexadecimal."""
    return EntrySet(entries).digest(version)


def diff(base: int, old: Entries, version: int, new: Entries) -> Delta:
    """Return the difference between two versions.

    :param old: the entries of version ``base``
    :param new: the entries of ``version``
    """
    put = {key: value for key, value in new.items() if old.get(key) != value}
    removed = tuple(sorted(key for key in old if key not in new))
    return Delta(base, version, put, removed)


def canonical(value: typing.Any) -> str:
    """Return JSON with sorted keys and no spaces."""
    return json.dumps(
        value, sort_keys=True, separators=(',', ':'), ensure_ascii=False
    )


def _parse(cls: typing.Any, text: str) -> typing.Any:
    """Return an object of an attrs class, parsed from an entry's JSON."""
    values = json.loads(text)
    list_keys = {
        key for key, value in values.items() if isinstance(value, list)
    }
    for key in list_keys:
        values[key] = tuple(values[key])
    return cls(**values)


def _bucket(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % _BUCKET_COUNT


def _keys_in_buckets(
    entries: collections.abc.Iterable[str],
) -> dict[int, frozenset[str]]:
    keys_by_bucket: dict[int, set[str]] = {}
    for key in entries:
        keys_by_bucket.setdefault(_bucket(key), set()).add(key)
    return {bucket: frozenset(keys) for bucket, keys in keys_by_bucket.items()}
