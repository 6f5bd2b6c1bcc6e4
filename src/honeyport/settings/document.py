"""Read YAML documents into attrs classes, with errors that name the line.

The classes declare their fields with :func:`fields.field`. Unknown fields,
wrong types and invalid values are errors that give the file, the line, the
field and the expected value.
"""

import pathlib
import types
import typing

import attrs
import yaml

from honeyport import errors

_TYPES_BY_TAG = {
    'tag:yaml.org,2002:str': str,
    'tag:yaml.org,2002:int': int,
    'tag:yaml.org,2002:float': float,
    'tag:yaml.org,2002:bool': bool,
    'tag:yaml.org,2002:null': type(None),
}
_TYPE_NAMES = {str: 'text', int: 'a whole number', float: 'a number'}

T = typing.TypeVar('T')


class Reader:
    """Converts the nodes of a YAML document to values of attrs classes.

    :param name: name of the file, for messages
    :param error: class of the errors that are raised
    """

    def __init__(self, name: str, error: type[errors.HoneyportError]) -> None:
        self._name = name
        self._error = error

    def read(self, text: str, cls: type[T]) -> T:
        """Return the document in ``text`` as an instance of ``cls``.

        :raises errors.HoneyportError: of the class ``error``, if the
            document is invalid
        """
        try:
            node = yaml.compose(text, Loader=yaml.SafeLoader)
        except yaml.MarkedYAMLError as error:
            mark = error.problem_mark
            line = mark.line + 1 if mark else 1
            raise self._error(
                f'{self._name}:{line}: not YAML: {error.problem}'
            ) from None
        if node is None:
            raise self._error(f'{self._name}:1: the file is empty')
        return self._convert(node, cls, '')

    def fail(
        self, node: yaml.Node, path: str, expected: str
    ) -> typing.NoReturn:
        """Raise the error for an invalid node.

        :param path: path of the field in the document, such as ``a.b[0]``
        :param expected: description of a valid value
        """
        line = node.start_mark.line + 1
        prefix = f'{path}: ' if path else ''
        raise self._error(f'{self._name}:{line}: {prefix}expected {expected}')

    def _convert(
        self, node: yaml.Node, expected_type: typing.Any, path: str
    ) -> typing.Any:
        if attrs.has(expected_type):
            return self._convert_object(node, expected_type, path)
        origin = typing.get_origin(expected_type)
        if origin is dict:
            return self._convert_mapping(
                node, typing.get_args(expected_type)[1], path
            )
        if origin is tuple:
            return self._convert_sequence(
                node, typing.get_args(expected_type)[0], path
            )
        if origin is types.UnionType:
            return self._convert_optional(node, expected_type, path)
        return self._convert_scalar(node, expected_type, path)

    def _convert_object(self, node: yaml.Node, cls: type[T], path: str) -> T:
        values = {}
        fields = {
            f.name: f for f in attrs.fields(typing.cast(typing.Any, cls))
        }
        for key, child in self._key_value_pairs(node, path):
            child_path = f'{path}.{key}' if path else key
            if key not in fields:
                known = ', '.join(sorted(fields))
                self.fail(child, child_path, f'one of the fields {known}')
            value = self._convert(child, fields[key].type, child_path)
            check = fields[key].metadata.get('check')
            expected = check(value) if check and value is not None else None
            if expected:
                self.fail(child, child_path, f'{expected}, got {value!r}')
            values[key] = value
        for name, field in fields.items():
            if field.default is attrs.NOTHING and name not in values:
                field_path = f'{path}.{name}' if path else name
                self.fail(node, field_path, 'a value; the field is missing')
        return cls(**values)

    def _convert_mapping(
        self, node: yaml.Node, expected_type: typing.Any, path: str
    ) -> dict[str, typing.Any]:
        return {
            key: self._convert(child, expected_type, f'{path}.{key}')
            for key, child in self._key_value_pairs(node, path)
        }

    def _key_value_pairs(
        self, node: yaml.Node, path: str
    ) -> typing.Iterator[tuple[str, yaml.Node]]:
        if not isinstance(node, yaml.MappingNode):
            self.fail(node, path, 'a mapping')
        seen_keys = set()
        for key, child in node.value:
            if key.value in seen_keys:
                self.fail(key, path, f'the key {key.value!r} only once')
            seen_keys.add(key.value)
            yield key.value, child

    def _convert_sequence(
        self, node: yaml.Node, expected_type: typing.Any, path: str
    ) -> tuple[typing.Any, ...]:
        if not isinstance(node, yaml.SequenceNode):
            self.fail(node, path, 'a list')
        return tuple(
            self._convert(child, expected_type, f'{path}[{position}]')
            for position, child in enumerate(node.value)
        )

    def _convert_optional(
        self, node: yaml.Node, expected_type: typing.Any, path: str
    ) -> typing.Any:
        if node.tag == 'tag:yaml.org,2002:null':
            return None
        inner_types = [
            arg
            for arg in typing.get_args(expected_type)
            if arg is not type(None)
        ]
        return self._convert(node, inner_types[0], path)

    def _convert_scalar(
        self, node: yaml.Node, expected_type: typing.Any, path: str
    ) -> typing.Any:
        expected = _TYPE_NAMES.get(expected_type, 'true or false')
        if not isinstance(node, yaml.ScalarNode):
            self.fail(node, path, expected)
        tag_type = _TYPES_BY_TAG.get(node.tag)
        value = (
            yaml.safe_load(node.value) if tag_type is not str else node.value
        )
        if expected_type is float and tag_type is int:
            return float(value)
        if tag_type is not expected_type:
            self.fail(node, path, f'{expected}, got {node.value!r}')
        return value


def load(
    path: str | pathlib.Path,
    cls: type[T],
    error: type[errors.HoneyportError] = errors.SettingsInvalid,
) -> T:
    """Read a YAML file into an instance of an attrs class.

    :param error: class of the errors that are raised
    :raises errors.HoneyportError: of the class ``error``, if the file cannot
        be read or is invalid
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as problem:
        raise error(f'{path}: {problem.strerror}') from None
    return Reader(str(path), error).read(text, cls)
