"""Bundle files: reading YAML and checking rules across sections."""

import pathlib
import re

import attrs

from honeyport.bundle import model
from honeyport import errors
from honeyport.settings import document

_NAME_PATTERN = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')


@attrs.frozen
class Violation:
    """A rule that a bundle violates.

    :ivar path: the field, with a dot between its parts
    :ivar expected: the values that are allowed, for a message
    """

    path: str
    expected: str


def load(path: str | pathlib.Path) -> model.Bundle:
    """Read and check a bundle.

    :raises errors.BundleInvalid: with file, line, field and the expected
        value
    """
    bundle = document.load(path, model.Bundle, errors.BundleInvalid)
    violation = find_violation(bundle)
    if violation:
        line = _line(path, violation.path)
        raise errors.BundleInvalid(
            f'{path}:{line}: {violation.path}: expected {violation.expected}'
        )
    return bundle


def find_violation(bundle: model.Bundle) -> Violation | None:
    """Return the first violation of a rule across sections, if any."""
    for section in ('services', 'backends', 'models', 'accounts'):
        for name in getattr(bundle, section):
            if not _NAME_PATTERN.fullmatch(name):
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
    """Return the line of a field in the file, from 1.

    If the field is missing, it is the line of the last existing part of its
    path.
    """
    lines = pathlib.Path(path).read_text(encoding='utf-8').splitlines()
    found_line = search_start = 0
    for part in field.split('.'):
        for number in range(search_start, len(lines)):
            if lines[number].strip().startswith(f'{part}:'):
                found_line = search_start = number
                break
    return found_line + 1
