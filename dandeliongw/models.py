"""Base class of the validated models, with readable validation errors."""

import ast
from collections import abc
import difflib
import functools
import inspect
import itertools
import json
import os
import textwrap
import typing

import pydantic

from . import _secrets
from . import exceptions

# Without this, pydantic reads the metadata of all installed libraries to look
# for plugins: 20 ms of the start of an instance, which uses none.
os.environ.setdefault('PYDANTIC_DISABLE_PLUGINS', '__all__')

#: Version of a backend server's program; any text, as versions are only
#: compared for equality.
SoftwareVersion = typing.Annotated[
    str, pydantic.StringConstraints(max_length=128)
]
#: Names chosen by operators; safe in URLs, labels and file names.
Name = typing.Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$',
    ),
]
Sha256 = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^[0-9a-f]{64}$')
]
Positive = typing.Annotated[float, pydantic.Field(gt=0)]
NonNegative = typing.Annotated[float, pydantic.Field(ge=0)]
#: Messages between instances carry integers as signed 64 bits.
INT64_END = 1 << 63
PositiveInt = typing.Annotated[int, pydantic.Field(gt=0, lt=INT64_END)]
NonNegativeInt = typing.Annotated[int, pydantic.Field(ge=0, lt=INT64_END)]

_MEANINGS_BY_PATTERN = {
    r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$': (
        '1 to 63 of a-z, 0-9 and -, with no - at either end'
    ),
    r'^[0-9a-f]{64}$': '64 hexadecimal digits in lower case (a SHA-256)',
}
#: Unit suffixes; ignored when looking for a field to suggest, so that
#: ``first_token_ms`` gets the suggestion ``first_token_s``.
_UNITS = frozenset(
    'ms us ns s sec seconds minutes hours bytes kib mib gib kb mb gb '
    'kbps mbps gbps bits per'.split()
)
_LONGEST_SHOWN = 80

M = typing.TypeVar('M', bound='Model')


class Model(pydantic.BaseModel):
    """A frozen model that rejects unknown fields and converts no types.

    Subclasses check fields against each other in :meth:`find_problems`; if
    it yields a problem, construction fails.
    """

    model_config = pydantic.ConfigDict(
        frozen=True,
        extra='forbid',
        strict=True,
        allow_inf_nan=False,
        # A validator is built when its model is first used. Most models are
        # only parts of others, or are of no use to most instances.
        defer_build=True,
    )

    def find_problems(self) -> abc.Iterator[exceptions.Problem]:
        """Yield inconsistencies between fields; a hook for subclasses."""
        return iter(())

    @classmethod
    def __get_pydantic_json_schema__(
        cls,
        core_schema: typing.Any,
        handler: pydantic.GetJsonSchemaHandler,
    ) -> dict[str, typing.Any]:
        """Add the fields' docstrings to the model's JSON Schema."""
        schema = handler.resolve_ref_schema(handler(core_schema))
        for name, text in describe(cls).items():
            schema['properties'][name]['description'] = text
        return schema

    @pydantic.model_validator(mode='after')
    def _refuse_problems(self) -> typing.Self:
        problems = tuple(self.find_problems())
        if problems:
            raise exceptions.InvalidInput(problems=problems)
        return self


def parse(model: type[M], body: bytes, source: str = '') -> M:
    """Return an object of class ``model`` parsed from JSON.

    :param source: where the body came from, for error messages.
    :raises InvalidInput: with every problem found.
    """
    try:
        load_json(body, source)
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise to_invalid_input(model, error, source) from error
    except exceptions.InvalidInput as error:
        problems = error.problems
    raise exceptions.InvalidInput(problems=problems, source=source)


@functools.cache
def describe(model: type[Model]) -> dict[str, str]:
    """Return the docstrings of a model's fields, for fields that have one.

    They are parsed from the source on first use, by the console or a
    generated page. Parsing them when each class is created raised the
    processor time of the imports from 0.39 s to 0.62 s.
    """
    texts: dict[str, str] = {}
    for base in reversed(model.__mro__):
        if issubclass(base, Model) and base is not Model:
            texts.update(_field_docstrings(base))
    return texts


def _field_docstrings(model: type[Model]) -> abc.Iterator[tuple[str, str]]:
    source = textwrap.dedent(inspect.getsource(model))
    body = ast.parse(source).body[0].body
    for field, following in itertools.pairwise(body):
        match field, following:
            case (
                ast.AnnAssign(target=ast.Name(id=name)),
                ast.Expr(value=ast.Constant(value=str() as text)),
            ):
                yield name, inspect.cleandoc(text)


def to_invalid_input(
    model: type[Model], error: pydantic.ValidationError, source: str = ''
) -> exceptions.InvalidInput:
    """Return a validation error of pydantic as an ``InvalidInput``."""
    return exceptions.InvalidInput(
        problems=_problems(model, error), source=source
    )


def load_json(body: bytes, source: str = '') -> typing.Any:
    """Return the parsed JSON; reject duplicate names within one object.

    Otherwise the second value would silently replace the first, and a whole
    list of pools could be lost.

    :param source: where the body came from, for error messages.
    :raises InvalidInput: for a duplicate name, or text that isn't JSON in
        UTF-8.
    """
    try:
        return json.loads(body, object_pairs_hook=_unique_names)
    except exceptions.InvalidInput as error:
        error.source = source
        raise
    except (ValueError, RecursionError) as error:
        problem = exceptions.Problem(
            path='', given=f'not JSON: {error}', allowed='give JSON in UTF-8'
        )
        raise exceptions.InvalidInput(problems=(problem,), source=source)


def find_duplicates(
    values: abc.Iterable[typing.Any], list_path: str, field: str
) -> abc.Iterator[exceptions.Problem]:
    """Yield a problem for each value that occurs earlier in the list."""
    first_by_value: dict[typing.Any, int] = {}
    for index, value in enumerate(values):
        first = first_by_value.setdefault(value, index)
        if first != index:
            path = f'{list_path}[{index}].{field}'
            yield exceptions.Problem(
                path=path,
                given=_given(path, value),
                allowed=f'already given in {list_path}[{first}]',
            )


def find_unknown(
    value: str, known: abc.Collection[str], path: str
) -> abc.Iterator[exceptions.Problem]:
    """Yield a problem if ``value`` is not one of the known names."""
    if value not in known:
        yield exceptions.Problem(
            path=path,
            given=_given(path, value),
            allowed=f'must be one of: {_choices(known)}',
        )


def _choices(known: abc.Collection[str]) -> str:
    return ', '.join(sorted(known)) if known else '(none is defined)'


def _unique_names(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    values: dict[str, typing.Any] = {}
    for name, value in pairs:
        if name in values:
            problem = exceptions.Problem(
                path=name,
                given='given twice in one object',
                allowed='give each field once',
            )
            raise exceptions.InvalidInput(problems=(problem,))
        values[name] = value
    return values


def _problems(
    model: type[Model], error: pydantic.ValidationError
) -> list[exceptions.Problem]:
    found = error.errors(include_url=False)
    return [_problem(model, detail) for detail in found]


def _problem(model: type[Model], detail: typing.Any) -> exceptions.Problem:
    location = detail['loc']
    path = _path(location)
    kind = detail['type']
    if kind == 'extra_forbidden':
        owner = _model_at(model, location[:-1])
        return exceptions.Problem(
            path=path,
            given='no such field',
            allowed=_suggestion(str(location[-1]), owner),
        )
    if kind == 'missing':
        return exceptions.Problem(
            path=path, given='not given', allowed='this field is required'
        )
    return exceptions.Problem(
        path=path,
        given=_given(path, detail['input']),
        allowed=_allowed(detail),
    )


def _path(location: abc.Iterable[int | str]) -> str:
    path = ''
    for part in location:
        if isinstance(part, int):
            path += f'[{part}]'
        else:
            path += f'.{part}' if path else part
    return path


def _given(path: str, value: typing.Any) -> str:
    # Without the index of an item of a list.
    name = path.rpartition('.')[2].partition('[')[0]
    if _secrets.may_be_secret(name):
        return 'a value that is not shown'
    if isinstance(value, (dict, Model)):
        return 'given an object'
    if isinstance(value, (list, tuple)):
        return f'given a list of {len(value)}'
    text = json.dumps(value, ensure_ascii=False, default=str)
    if len(text) > _LONGEST_SHOWN:
        text = text[:_LONGEST_SHOWN] + '…'
    return f'given {text}'


def _allowed(detail: typing.Any) -> str:
    pattern = detail.get('ctx', {}).get('pattern')
    if pattern in _MEANINGS_BY_PATTERN:
        return 'must be ' + _MEANINGS_BY_PATTERN[pattern]
    message = detail['msg'].removeprefix('Value error, ')
    return message[:1].lower() + message[1:]


def _suggestion(name: str, owner: type[Model]) -> str:
    fields = list(owner.model_fields)
    stem = _without_unit(name)
    meant = [field for field in fields if _without_unit(field) == stem]
    if not meant:
        meant = difflib.get_close_matches(name, fields, n=1)
    if meant:
        return f'did you mean {meant[0]!r}?'
    return f'the fields here are: {", ".join(fields)}'


def _without_unit(name: str) -> tuple[str, ...]:
    words = name.split('_')
    while len(words) > 1 and words[-1].lower() in _UNITS:
        words.pop()
    return tuple(words)


def _model_at(
    model: type[Model], location: abc.Iterable[int | str]
) -> type[Model]:
    """Return the model at an error's location."""
    current = model
    for part in location:
        if isinstance(part, str):
            annotation = current.model_fields[part].annotation
            current = find_model(annotation) or current
    return current


def find_model(annotation: typing.Any) -> type[Model] | None:
    """Return the model within an annotation, such as a tuple of models."""
    if isinstance(annotation, type) and issubclass(annotation, Model):
        return annotation
    for argument in typing.get_args(annotation):
        found = find_model(argument)
        if found is not None:
            return found
    return None
