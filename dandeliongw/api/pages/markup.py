"""Generates HTML with automatic escaping.

A page built with :func:`tag` can't contain unescaped text: everything that
isn't :class:`Markup` is escaped when it is inserted. With templates, this
would depend on their authors.
"""

from collections import abc
import html
import typing

_VOID = frozenset({'br', 'input', 'link', 'meta'})


class Markup(str):
    """Text that is HTML already; only this module creates it."""

    __slots__ = ()


def tag(
    name: str, /, *children: typing.Any, **attributes: typing.Any
) -> Markup:
    """Return one element.

    :param children: markup, text, or iterables of both; ``None`` is left
        out.
    :param attributes: ``class_`` and ``for_`` stand for the reserved words,
        ``_`` stands for ``-``. ``True`` gives an attribute without a value;
        ``None`` and ``False`` leave it out.
    """
    start = f'<{name}{"".join(_attributes(attributes))}>'
    if name in _VOID:
        return Markup(start)
    return Markup(f'{start}{join(children)}</{name}>')


def join(children: abc.Iterable[typing.Any]) -> Markup:
    """Return the concatenated children, escaped where needed."""
    return Markup(''.join(_flatten(children)))


def page(head: Markup, body: Markup) -> bytes:
    """Return a complete page."""
    content = tag('html', head, body, lang='en')
    return f'<!DOCTYPE html>\n{content}\n'.encode()


def _flatten(children: abc.Iterable[typing.Any]) -> abc.Iterator[str]:
    for child in children:
        if child is None:
            continue
        if isinstance(child, Markup):
            yield child
        elif isinstance(child, (list, tuple, abc.Iterator)):
            yield from _flatten(child)
        else:
            yield html.escape(str(child))


def _attributes(values: dict[str, typing.Any]) -> abc.Iterator[str]:
    for name, value in values.items():
        if value is None or value is False:
            continue
        html_name = name.rstrip('_').replace('_', '-')
        if value is True:
            yield f' {html_name}'
        else:
            yield f' {html_name}="{html.escape(str(value))}"'
