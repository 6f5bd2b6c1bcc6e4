"""Generate the reference pages from the code."""

import pathlib
import typing

import attrs

from honeyport.bundle import model
from honeyport import errors
from honeyport.settings import roles
from honeyport.telemetry import events

_SETTINGS_CLASSES = (
    roles.Router,
    roles.Control,
    roles.Engine,
    roles.Service,
    roles.WeightStore,
    roles.InstanceList,
)
_BUNDLE_CLASSES = (
    model.Bundle,
    model.Signers,
    model.Service,
    model.Backend,
    model.Model,
    model.Account,
    model.Route,
    model.RequestLimits,
    model.Timing,
    model.Limits,
)
_RAN_LABELS = {True: 'ran', False: 'not run', None: 'may have run'}


def write(folder: str | pathlib.Path) -> list[str]:
    """Write all pages into a folder; return their sorted file names."""
    pages = render()
    for name, text in pages.items():
        pathlib.Path(folder, name).write_text(text, encoding='utf-8')
    return sorted(pages)


def render() -> dict[str, str]:
    """Return all pages: file name to text."""
    return {
        'events.md': _events(),
        'errors.md': _errors(),
        'settings.md': _settings(),
        'bundle.md': _bundle(),
    }


def _events() -> str:
    lines = [
        '# Log events',
        '',
        'Every log line is a JSON object with the number of its event. A',
        'number is never reused for another event.',
        '',
        '| number | event | level | meaning |',
        '| --- | --- | --- | --- |',
    ]
    lines += [
        f'| {event.number} | {event.name} | {event.level} | {event.meaning} |'
        for event in events.catalogue()
    ]
    return '\n'.join(lines) + '\n'


def _errors() -> str:
    lines = [
        '# Error codes',
        '',
        'Callers get `{"error": {...}}` with the code, what to do, whether',
        'the request ran (`ran`: true, false, or null if that is unknown),',
        'and `Retry-After` if a retry makes sense. For a request with an',
        'idempotency key, `ran: false` is sent only after the claim on the',
        'key was released.',
        '',
        '| code | type | HTTP | the request | what to do |',
        '| --- | --- | --- | --- | --- |',
    ]
    lines += [
        f'| {code} | {cls.__name__} | {cls.status} | {_RAN_LABELS[cls.ran]} '
        f'| {cls.hint} |'
        for code, cls in sorted(errors.registry().items())
    ]
    return '\n'.join(lines) + '\n'


def _settings() -> str:
    lines = [
        '# Settings of the roles',
        '',
        'Each process reads one YAML file. It exits with code 2 on unknown',
        'fields, wrong types and invalid values, and names the line.',
        '',
    ]
    for cls in _SETTINGS_CLASSES:
        lines += _table(cls)
    return '\n'.join(lines)


def _bundle() -> str:
    lines = [
        '# The bundle',
        '',
        'The signed configuration of a fleet, in YAML. `honeyport bundle',
        'check` reports the file, line and field of each error.',
        '',
    ]
    for cls in _BUNDLE_CLASSES:
        lines += _table(cls)
    return '\n'.join(lines)


def _table(cls: typing.Any) -> list[str]:
    doc = (cls.__doc__ or '').strip().splitlines()[0]
    lines = [
        f'## {cls.__name__}',
        '',
        doc,
        '',
        '| field | type | default | meaning |',
        '| --- | --- | --- | --- |',
    ]
    for field in attrs.fields(cls):
        meaning = field.metadata.get('doc', '')
        lines.append(
            f'| {field.name} | `{_format_type(field.type)}` '
            f'| {_format_default(field)} | {meaning} |'
        )
    return [*lines, '']


def _format_type(field_type: typing.Any) -> str:
    text = getattr(field_type, '__name__', str(field_type))
    if typing.get_args(field_type):
        text = str(field_type).replace('honeyport.bundle.model.', '')
    return text.replace('|', 'or')


def _format_default(field: typing.Any) -> str:
    if field.default is attrs.NOTHING:
        return 'required'
    if hasattr(field.default, 'factory'):
        return 'see its table' if attrs.has(field.type) else 'none'
    return f'`{field.default}`'
