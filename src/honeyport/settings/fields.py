"""Declare the fields of documents: documentation, default and validation.

This module does not import the YAML library, so that processes that read no
YAML do not load it.
"""

import collections.abc
import typing

import attrs

Check = collections.abc.Callable[[typing.Any], str | None]


def field(
    doc: str,
    default: typing.Any = attrs.NOTHING,
    *,
    check: Check | None = None,
    factory: typing.Any = None,
) -> typing.Any:
    """Declare a field of a document.

    :param doc: meaning and unit, for the reference pages
    :param default: value if the field is missing; by default it is required
    :param check: returns the expected value as text if a value is invalid,
        else ``None``
    :param factory: returns the default of a list or mapping
    """
    metadata = {'doc': doc, 'check': check}
    if factory is not None:
        return attrs.field(factory=factory, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


def at_least(low: float) -> Check:
    """Return a check that a number is not less than ``low``."""
    return lambda value: None if value >= low else f'at least {low}'


def one_of(*allowed: str) -> Check:
    """Return a check that a text is one of ``allowed``."""
    choices = ', '.join(allowed)
    return lambda value: None if value in allowed else f'one of {choices}'


def address(value: str) -> str | None:
    """Return the expected format if a text is not ``IP:PORT``."""
    host, _, port = value.rpartition(':')
    if host and port.isdigit() and int(port) < 65536:
        return None
    return 'IP:PORT'
