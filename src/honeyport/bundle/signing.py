"""Keys and signatures of bundles (Ed25519)."""

import base64
import json
import pathlib

import attrs
from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519
from cryptography.hazmat.primitives import serialization

from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import files
from honeyport.bundle import model
from honeyport import errors

_SIGNATURE_CONTEXT = b'honeyport bundle\n'


@attrs.frozen
class Signed:
    """A bundle's entries with their signatures.

    :ivar signatures: key name to signature, in base64
    """

    version: int
    entries: bundle_entries.Entries
    signatures: dict[str, str]

    @property
    def digest(self) -> str:
        """The digest that the signatures cover."""
        return bundle_entries.digest(self.version, self.entries)

    def to_json(self) -> str:
        """Return the contents of a signed bundle's file."""
        return bundle_entries.canonical(attrs.asdict(self))


def from_json(text: str) -> Signed:
    """Parse the text that :meth:`Signed.to_json` returns.

    :raises errors.BundleInvalid: if it is not a signed bundle
    """
    try:
        document = json.loads(text)
        return Signed(
            version=int(document['version']),
            entries=dict(document['entries']),
            signatures=dict(document['signatures']),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        raise errors.BundleInvalid('this is not a signed bundle') from None


def check(signed: Signed) -> model.Bundle:
    """Return the bundle after checking all rules.

    :raises errors.BundleInvalid: if an entry is unreadable or a rule is
        violated
    """
    try:
        bundle = bundle_entries.from_entries(signed.version, signed.entries)
    except (KeyError, TypeError, ValueError) as error:
        raise errors.BundleInvalid(f'unreadable entry: {error!r}') from None
    violation = files.find_violation(bundle)
    if violation:
        raise errors.BundleInvalid(
            f'{violation.path}: expected {violation.expected}'
        )
    return bundle


def write_new_key(folder: str, name: str) -> str:
    """Write a new private key into a folder; return its public key.

    :returns: the public key, in base64
    :raises errors.UsageInvalid: if a key of that name exists
    """
    key = ed25519.Ed25519PrivateKey.generate()
    pem = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    path = pathlib.Path(folder) / f'{name}.pem'
    if path.exists():
        raise errors.UsageInvalid(f'{path} exists and is not overwritten')
    path.parent.mkdir(parents=True, exist_ok=True)
    path.touch(mode=0o600)
    path.write_bytes(pem)
    return _encode_public_key(key)


def sign(signed: Signed, key_path: str) -> Signed:
    """Return the bundle with an additional signature.

    The key's name is the name of its file without the suffix.

    :raises errors.UsageInvalid: if the file has no Ed25519 private key
    """
    path = pathlib.Path(key_path)
    try:
        key = serialization.load_pem_private_key(path.read_bytes(), None)
    except (OSError, ValueError):
        raise errors.UsageInvalid(f'{path} is not a private key') from None
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise errors.UsageInvalid(f'{path} is not an Ed25519 key')
    signature = key.sign(_SIGNATURE_CONTEXT + signed.digest.encode())
    signatures = dict(signed.signatures)
    signatures[path.stem] = base64.b64encode(signature).decode()
    return attrs.evolve(signed, signatures=signatures)


def verify(signed: Signed, signers: model.Signers) -> None:
    """Check that the threshold of valid signatures is reached.

    :raises errors.SignatureInvalid: if it is not
    """
    valid_keys = {
        public
        for name, public in signers.keys.items()
        if _is_valid(signed, public, signed.signatures.get(name, ''))
    }
    if len(valid_keys) < signers.threshold:
        raise errors.SignatureInvalid(
            f'{len(valid_keys)} valid signatures, {signers.threshold} needed '
            f'from {", ".join(sorted(signers.keys))}'
        )


def _is_valid(signed: Signed, public_key: str, signature: str) -> bool:
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(
            base64.b64decode(public_key)
        )
        key.verify(
            base64.b64decode(signature),
            _SIGNATURE_CONTEXT + signed.digest.encode(),
        )
    except (ValueError, exceptions.InvalidSignature):
        return False
    return True


def _encode_public_key(key: ed25519.Ed25519PrivateKey) -> str:
    raw = key.public_key().public_bytes_raw()
    return base64.b64encode(raw).decode()
