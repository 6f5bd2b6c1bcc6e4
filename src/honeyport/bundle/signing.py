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

_CONTEXT = b'honeyport bundle\n'


@attrs.frozen
class Signed:
    """A bundle's entries with their signatures.

    ``signatures`` maps a key's name to a signature in base64.
    """

    version: int
    entries: bundle_entries.Entries
    signatures: dict[str, str]

    @property
    def digest(self) -> str:
        """The digest that the signatures cover."""
        return bundle_entries.digest(self.version, self.entries)

    def to_json(self) -> str:
        """Return the text of a signed bundle's file."""
        return bundle_entries.canonical(attrs.asdict(self))


def from_json(text: str) -> Signed:
    """Read the text that :meth:`Signed.to_json` wrote.

    :raises errors.BundleInvalid: if it is anything else
    """
    try:
        tree = json.loads(text)
        return Signed(
            version=int(tree['version']),
            entries=dict(tree['entries']),
            signatures=dict(tree['signatures']),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        raise errors.BundleInvalid('this is not a signed bundle') from None


def check(signed: Signed) -> model.Bundle:
    """Return the bundle if every rule holds for it.

    :raises errors.BundleInvalid: if one does not
    """
    try:
        bundle = bundle_entries.from_entries(signed.version, signed.entries)
    except (KeyError, TypeError, ValueError) as error:
        raise errors.BundleInvalid(f'unreadable entry: {error!r}') from None
    problem = files.find_violation(bundle)
    if problem:
        raise errors.BundleInvalid(
            f'{problem.path}: expected {problem.expected}'
        )
    return bundle


def write_new_key(folder: str, name: str) -> str:
    """Write a private key into a folder; return its public key in base64."""
    key = ed25519.Ed25519PrivateKey.generate()
    raw = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    path = pathlib.Path(folder) / f'{name}.pem'
    if path.exists():
        raise errors.UsageInvalid(f'{path} exists; it is not overwritten')
    path.parent.mkdir(parents=True, exist_ok=True)
    path.touch(mode=0o600)
    path.write_bytes(raw)
    return _public_text(key)


def sign(signed: Signed, key_path: str) -> Signed:
    """Return the bundle with one more signature.

    The key's name is the file's name without its ending.
    """
    path = pathlib.Path(key_path)
    try:
        key = serialization.load_pem_private_key(path.read_bytes(), None)
    except (OSError, ValueError):
        raise errors.UsageInvalid(f'{path} is not a private key') from None
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise errors.UsageInvalid(f'{path} is not an Ed25519 key')
    signature = key.sign(_CONTEXT + signed.digest.encode())
    signatures = dict(signed.signatures)
    signatures[path.stem] = base64.b64encode(signature).decode()
    return attrs.evolve(signed, signatures=signatures)


def verify(signed: Signed, signers: model.Signers) -> None:
    """Check that enough of the signers have signed.

    :raises errors.SignatureInvalid: if they have not
    """
    right = {
        public
        for name, public in signers.keys.items()
        if _is_right(signed, public, signed.signatures.get(name, ''))
    }
    if len(right) < signers.threshold:
        raise errors.SignatureInvalid(
            f'{len(right)} right signatures, {signers.threshold} needed '
            f'from {", ".join(sorted(signers.keys))}'
        )


def _is_right(signed: Signed, public: str, signature: str) -> bool:
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(
            base64.b64decode(public)
        )
        key.verify(
            base64.b64decode(signature), _CONTEXT + signed.digest.encode()
        )
    except (ValueError, exceptions.InvalidSignature):
        return False
    return True


def _public_text(key: ed25519.Ed25519PrivateKey) -> str:
    raw = key.public_key().public_bytes_raw()
    return base64.b64encode(raw).decode()
