"""Bundle files: reading YAML and the rules between its parts."""

import pathlib
import re

import attrs

from honeyport.bundle import model
from honeyport import errors
from honeyport.settings import document

_NAME = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')


@attrs.frozen
class Violation:
    """A rule that a bundle breaks."""

    path: str
    expected: str


def load(path: str | pathlib.Path) -> model.Bundle:
    """Read and check a bundle.

    :raises errors.BundleInvalid: with file, line, field and what was
        expected
    """
    bundle = document.load(path, model.Bundle, errors.BundleInvalid)
    found = find_violation(bundle)
    if found:
        line = _line(path, found.path)
        raise errors.BundleInvalid(
            f'{path}:{line}: {found.path}: expected {found.expected}'
        )
    return bundle


def find_violation(bundle: model.Bundle) -> Violation | None:
    """Return the first rule that the parts break together, if any."""
    for section in ('services', 'backends', 'models', 'accounts'):
        for name in getattr(bundle, section):
            if not _NAME.fullmatch(name):
                return Violation(f'{section}.{name}', 'a-z, 0-9, ., _ and -')
    for name, service in bundle.services.items():
        if service.kind == model.ENGINE and service.model not in bundle.models:
            return Violation(f'services.{name}.model', 'a model from models')
    for name, backend in bundle.backends.items():
        if backend.service not in bundle.services:
            return Violation(
                f'backends.{name}.service', 'a service from services'
            )
    if len(set(bundle.signers.keys.values())) < bundle.signers.threshold:
        return Violation('signers.threshold', 'no more than there are keys')
    if bundle.timing.lease_ms < 4 * bundle.timing.report_ms:
        return Violation('timing.lease_ms', 'at least four times report_ms')
    return None


def _line(path: str | pathlib.Path, field: str) -> int:
    """Return the line of the last part of a field's path that is there."""
    lines = pathlib.Path(path).read_text(encoding='utf-8').splitlines()
    found = start = 0
    for part in field.split('.'):
        for number in range(start, len(lines)):
            if lines[number].strip().startswith(f'{part}:'):
                found = start = number
                break
    return found + 1
