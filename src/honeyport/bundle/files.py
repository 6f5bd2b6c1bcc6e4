"""Bundle files: reading YAML and the rules between its parts."""

import pathlib
import re

import attrs

from honeyport.bundle import model
from honeyport import errors
from honeyport.settings import document

_NAME = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')


@attrs.frozen
class Problem:
    """A rule that a bundle breaks."""

    path: str
    text: str


def load(path: str | pathlib.Path) -> model.Bundle:
    """Read and check a bundle.

    :raises errors.BundleInvalid: with file, line, field and what was
        expected
    """
    bundle = document.load(path, model.Bundle, errors.BundleInvalid)
    found = problem(bundle)
    if found:
        line = _line(path, found.path)
        raise errors.BundleInvalid(
            f'{path}:{line}: {found.path}: expected {found.text}'
        )
    return bundle


def problem(bundle: model.Bundle) -> Problem | None:
    """Return the first rule that the parts break together, if any."""
    for section in ('services', 'backends', 'models', 'accounts'):
        for name in getattr(bundle, section):
            if not _NAME.fullmatch(name):
                return Problem(f'{section}.{name}', 'a-z, 0-9, ., _ and -')
    for name, service in bundle.services.items():
        if service.kind == model.ENGINE and service.model not in bundle.models:
            return Problem(f'services.{name}.model', 'a model from models')
    for name, backend in bundle.backends.items():
        if backend.service not in bundle.services:
            return Problem(
                f'backends.{name}.service', 'a service from services'
            )
    if len(set(bundle.signers.keys.values())) < bundle.signers.threshold:
        return Problem('signers.threshold', 'no more than there are keys')
    if bundle.timing.lease_ms < 4 * bundle.timing.report_ms:
        return Problem('timing.lease_ms', 'at least four times report_ms')
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
