"""Forms generated from the document's models, and parsing of their values.

Each field of a model becomes a field of the form, so the console always
offers exactly the fields that the document has.
"""

from collections import abc
import json
import math
import types
import typing

import msgspec

from ... import differences
from ... import document
from ... import exceptions
from ... import models
from . import markup

MODELS_BY_SECTION: dict[str, type[models.Model]] = {
    'services': document.Service,
    'pools': document.Pool,
    'priorities': document.Priority,
    'routes': document.Route,
    'accounts': document.Account,
}
#: Fields that refer to an item of another section, and that section.
_REFERENCES = {
    ('pools', 'service'): 'services',
    ('routes', 'service'): 'services',
    ('routes', 'priority'): 'priorities',
    ('accounts', 'services'): 'services',
    ('accounts', 'priority'): 'priorities',
}
#: Units by the ending of a field's name; longer endings come first, as the
#: first match is used.
_UNITS_BY_ENDING = {
    '_bytes_per_token': 'bytes per token',
    '_bytes_per_s': 'bytes per second',
    '_tokens_per_s': 'tokens per second',
    '_per_s': 'per second',
    '_s': 'seconds',
    '_sha256': 'SHA-256',
}
_ANSWERS = {'yes': True, 'no': False}

Form = abc.Mapping[str, typing.Any]


class Field(msgspec.Struct, frozen=True, kw_only=True):
    """One input of a form.

    :param name: dotted path for a field of a nested model.
    :param choices: the allowed values; ``None`` for free text.
    :param many: whether several values may be selected.
    """

    name: str
    help: str
    required: bool
    annotation: typing.Any
    choices: tuple[str, ...] | None
    many: bool

    @property
    def label(self) -> str:
        """The name as readable text, with the unit."""
        name = self.name.replace('.', ' ')
        for ending, unit in _UNITS_BY_ENDING.items():
            if name.endswith(ending):
                name = f'{name.removesuffix(ending)} ({unit})'
                break
        words = name.replace('_', ' ')
        return words[:1].upper() + words[1:]


def fields_of(section: str, tree: differences.Tree) -> list[Field]:
    """Return the fields of a section's form.

    :param tree: the draft, to whose items fields can refer.
    """
    found: list[Field] = []
    _add_fields(found, MODELS_BY_SECTION[section], section, '', tree)
    return found


def read_item(fields: abc.Iterable[Field], form: Form) -> differences.Item:
    """Return the item in a posted form.

    Text that isn't a number is kept as text. The model's validation then
    reports it, and the form is shown again with the same text.
    """
    item: differences.Item = {}
    for field in fields:
        value = _read_value(field, form)
        if value is not None:
            _put(item, field.name, value)
    return item


def check_item(
    section: str, item: differences.Item
) -> tuple[exceptions.Problem, ...]:
    """Validate one item by itself, and return its problems."""
    body = json.dumps(item).encode()
    try:
        models.parse(MODELS_BY_SECTION[section], body)
    except exceptions.InvalidInput as error:
        return error.problems
    return ()


def text(form: Form, name: str) -> str:
    """Return one posted value, stripped; empty if missing or not text."""
    value = form.get(name, '')
    if isinstance(value, list):
        value = value[-1]
    return value.strip() if isinstance(value, str) else ''


def inputs(
    fields: abc.Iterable[Field],
    item: differences.Item,
    problems: abc.Sequence[exceptions.Problem],
) -> list[markup.Markup]:
    """Return the labelled inputs, each with its problems."""
    shown = []
    for field in fields:
        own = [each for each in problems if _belongs_to(each, field)]
        shown.append(_labelled_input(field, _find(item, field.name), own))
    return shown


def other_problems(
    fields: abc.Iterable[Field], problems: abc.Iterable[exceptions.Problem]
) -> list[exceptions.Problem]:
    """Return the problems that belong to no field of the form."""
    known = list(fields)
    return [
        problem
        for problem in problems
        if not any(_belongs_to(problem, field) for field in known)
    ]


def _add_fields(
    found: list[Field],
    model: type[models.Model],
    section: str,
    prefix: str,
    tree: differences.Tree,
) -> None:
    texts_by_field = models.describe(model)
    for name, info in model.model_fields.items():
        inner = models.find_model(info.annotation)
        if inner is not None:
            _add_fields(found, inner, section, f'{prefix}{name}.', tree)
            continue
        annotation = _without_none(info.annotation)
        referred = _REFERENCES.get((section, name))
        choices = _choices(annotation)
        if referred is not None:
            choices = tuple(differences.items_by_key(tree, referred))
        found.append(
            Field(
                name=prefix + name,
                help=texts_by_field.get(name, '').replace('``', ''),
                required=info.is_required(),
                annotation=annotation,
                choices=choices,
                many=typing.get_origin(annotation) is tuple,
            )
        )


def _without_none(annotation: typing.Any) -> typing.Any:
    if typing.get_origin(annotation) not in (typing.Union, types.UnionType):
        return annotation
    inner = [
        part for part in typing.get_args(annotation) if part is not type(None)
    ]
    return inner[0]


def _choices(annotation: typing.Any) -> tuple[str, ...] | None:
    if typing.get_origin(annotation) is typing.Literal:
        return typing.get_args(annotation)
    if annotation is bool:
        return tuple(_ANSWERS)
    return None


def _read_value(field: Field, form: Form) -> typing.Any:
    if field.many:
        given = form.get(field.name, [])
        values = given if isinstance(given, list) else [given]
        return [value for value in values if isinstance(value, str)]
    value = text(form, field.name)
    if not value:
        return None
    if field.annotation is bool:
        return _ANSWERS.get(value, value)
    if _is_number(field.annotation):
        return _number(value)
    return value


def _is_number(annotation: typing.Any) -> bool:
    plain = getattr(annotation, '__origin__', annotation)
    return plain in (int, float)


def _number(value: str) -> int | float | str:
    try:
        # JSON numbers only: int() and float() also accept 1_000 and
        # non-ASCII digits.
        found = json.loads(value)
    except ValueError:
        return value
    if type(found) not in (int, float) or not math.isfinite(found):
        return value
    return found


def _put(item: differences.Item, name: str, value: typing.Any) -> None:
    *parents, last = name.split('.')
    for parent in parents:
        item = item.setdefault(parent, {})
    item[last] = value


def _find(item: differences.Item, name: str) -> typing.Any:
    found: typing.Any = item
    for part in name.split('.'):
        if not isinstance(found, dict):
            return None
        found = found.get(part)
    return found


def _belongs_to(problem: exceptions.Problem, field: Field) -> bool:
    return problem.path.partition('[')[0] == field.name


def _labelled_input(
    field: Field,
    value: typing.Any,
    problems: abc.Sequence[exceptions.Problem],
) -> markup.Markup:
    hints = [markup.tag('small', field.help, id=f'{field.name}-help')]
    hints += [
        markup.tag('strong', f'{each.given}; {each.allowed}', class_='bad')
        for each in problems
    ]
    hint = markup.tag('span', hints, id=f'{field.name}-hint', class_='hint')
    label = field.label if field.required else f'{field.label} (optional)'
    if field.many:
        return markup.tag(
            'fieldset',
            markup.tag('legend', label),
            _checkboxes(field, value or []),
            hint,
        )
    attributes = {
        'id': field.name,
        'name': field.name,
        'required': field.required,
        'aria_describedby': f'{field.name}-hint',
        'aria_invalid': 'true' if problems else None,
    }
    if field.choices is None:
        control = _input(field, value, attributes)
    else:
        control = _select(field, value, attributes)
    return markup.tag(
        'p', markup.tag('label', label, for_=field.name), control, hint
    )


def _input(
    field: Field, value: typing.Any, attributes: dict[str, typing.Any]
) -> markup.Markup:
    mode = 'decimal' if _is_number(field.annotation) else None
    return markup.tag(
        'input',
        type='text',
        inputmode=mode,
        autocomplete='off',
        value=show(value),
        **attributes,
    )


def _select(
    field: Field, value: typing.Any, attributes: dict[str, typing.Any]
) -> markup.Markup:
    chosen = show(value)
    choices = [*(field.choices or ())]
    if chosen and chosen not in choices:
        # A reference to a missing item is shown, not silently replaced.
        choices.append(chosen)
    options = [
        markup.tag('option', each, value=each, selected=each == chosen)
        for each in ['', *choices]
    ]
    return markup.tag('select', options, **attributes)


def _checkboxes(
    field: Field, chosen: abc.Collection[str]
) -> list[markup.Markup]:
    choices = [*(field.choices or ())]
    choices += [each for each in chosen if each not in choices]
    return [
        markup.tag(
            'label',
            markup.tag(
                'input',
                type='checkbox',
                name=field.name,
                value=each,
                checked=each in chosen,
            ),
            f' {each}',
        )
        for each in choices
    ]


def show(value: typing.Any) -> str:
    """Return a value of the document as text for a form field."""
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    if isinstance(value, list):
        return ', '.join(map(str, value))
    return str(value)
