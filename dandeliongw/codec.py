"""Data classes to protobuf and back, by field name.

The reducers know only data classes; the wire and the journal know only
protobuf. Both sides have the same field names, so one walk over the fields
maps any message, and a test proves that no field is missing on either side.
Optional fields need ``optional`` in the ``.proto`` so that absence survives.
"""

from collections import abc
import dataclasses
import enum
import functools
import types
import typing

from google.protobuf import message as protobuf_message


class CodecError(Exception):
    """Bytes or a message that this version can't map; names the kind."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pairing:
    """A data class and the generated class that carries it."""

    data_class: type
    wire_class: type[protobuf_message.Message]


class Codec:
    """Maps the data classes of some modules to generated protobuf modules.

    :param data_classes: every top-level message or record type.
    :param wire_modules: generated ``*_pb2`` modules; classes are paired by
        name.
    """

    def __init__(
        self,
        *,
        data_classes: abc.Iterable[type],
        wire_modules: abc.Iterable[types.ModuleType],
    ) -> None:
        modules = tuple(wire_modules)
        self.pairings_by_kind: dict[str, Pairing] = {}
        for data_class in data_classes:
            kind = data_class.__name__
            if kind in self.pairings_by_kind:
                raise CodecError(f'two data classes are named {kind!r}')
            self.pairings_by_kind[kind] = Pairing(
                data_class=data_class,
                wire_class=_find_wire_class(modules, kind),
            )

    def encode(self, value: typing.Any) -> tuple[str, bytes]:
        """Return the kind and the bytes of a message or record."""
        kind = type(value).__name__
        pairing = self._pairing(kind)
        wire = pairing.wire_class()
        _fill(wire, value)
        return kind, wire.SerializeToString()

    def decode(self, kind: str, body: bytes) -> typing.Any:
        """Return the data class that ``encode`` was given.

        :raises CodecError: for an unknown kind or bytes that don't parse.
        """
        pairing = self._pairing(kind)
        try:
            wire = pairing.wire_class.FromString(body)
        except protobuf_message.DecodeError as error:
            raise CodecError(f'{kind} does not parse: {error}') from error
        try:
            return _read(pairing.data_class, wire)
        except ValueError as error:
            # A newer release may know more words than this one.
            raise CodecError(f'{kind} does not parse: {error}') from error

    def _pairing(self, kind: str) -> Pairing:
        if kind not in self.pairings_by_kind:
            known = ', '.join(sorted(self.pairings_by_kind))
            raise CodecError(f'unknown kind {kind!r}; known: {known}')
        return self.pairings_by_kind[kind]


def _find_wire_class(
    modules: abc.Iterable[types.ModuleType], kind: str
) -> type[protobuf_message.Message]:
    for module in modules:
        if hasattr(module, kind):
            return getattr(module, kind)
    raise CodecError(f'no protobuf message is named {kind!r}')


@functools.cache
def _field_types(data_class: type) -> dict[str, typing.Any]:
    hints = typing.get_type_hints(data_class)
    return {
        field.name: _without_none(hints[field.name])
        for field in dataclasses.fields(data_class)
    }


def _without_none(hint: typing.Any) -> typing.Any:
    if typing.get_origin(hint) not in (typing.Union, types.UnionType):
        return hint
    arguments = [a for a in typing.get_args(hint) if a is not type(None)]
    return arguments[0]


def _fill(wire: protobuf_message.Message, value: typing.Any) -> None:
    for name in _field_types(type(value)):
        item = getattr(value, name)
        if item is None:
            continue
        if dataclasses.is_dataclass(item):
            target = getattr(wire, name)
            target.SetInParent()
            _fill(target, item)
        elif isinstance(item, (tuple, list, frozenset)):
            _fill_repeated(getattr(wire, name), item)
        elif isinstance(item, dict):
            _fill_map(getattr(wire, name), item)
        else:
            setattr(wire, name, _scalar(item))


def _fill_repeated(target: typing.Any, items: abc.Iterable) -> None:
    for item in items:
        if dataclasses.is_dataclass(item):
            _fill(target.add(), item)
        else:
            target.append(_scalar(item))


def _fill_map(target: typing.Any, items: dict) -> None:
    for key, item in items.items():
        if dataclasses.is_dataclass(item):
            # A message with no field set is still a present map value.
            target[key].SetInParent()
            _fill(target[key], item)
        else:
            target[key] = _scalar(item)


def _scalar(item: typing.Any) -> typing.Any:
    return item.value if isinstance(item, enum.Enum) else item


def _read(data_class: type, wire: protobuf_message.Message) -> typing.Any:
    optional = _optional_fields(data_class)
    values = {}
    for name, hint in _field_types(data_class).items():
        if name in optional and not wire.HasField(name):
            values[name] = None
        else:
            values[name] = _read_field(hint, getattr(wire, name))
    return data_class(**values)


@functools.cache
def _optional_fields(data_class: type) -> frozenset[str]:
    hints = typing.get_type_hints(data_class)
    return frozenset(
        name
        for name, hint in hints.items()
        if type(None) in typing.get_args(hint)
    )


def _read_field(hint: typing.Any, item: typing.Any) -> typing.Any:
    origin = typing.get_origin(hint)
    if origin in (tuple, frozenset):
        inner = typing.get_args(hint)[0]
        return origin(_read_field(inner, part) for part in item)
    if origin is dict:
        inner = typing.get_args(hint)[1]
        return {key: _read_field(inner, item[key]) for key in item}
    if dataclasses.is_dataclass(hint):
        return _read(hint, item)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint(item)
    return item
