"""HTML that is escaped by construction.

A page built of :func:`tag` can't hold unescaped text: whatever is not
:class:`Markup` is escaped where it is put in. Templates would leave that to
whoever writes them.
"""

from collections import abc
import html
import typing

_VOID = frozenset({'br', 'input', 'link', 'meta'})


class Markup(str):
    """Text that is HTML already; only this module makes it."""

    __slots__ = ()


def tag(
    name: str, /, *children: typing.Any, **attributes: typing.Any
) -> Markup:
    """Return one element.

    :param children: markup, text, or iterables of both; ``None`` is left
        out.
    :param attributes: ``class_`` and ``for_`` for the reserved words, ``_``
        for ``-``; ``True`` gives a bare attribute, ``None`` and ``False``
        none.
    """
    start = f'<{name}{"".join(_attributes(attributes))}>'
    if name in _VOID:
        return Markup(start)
    return Markup(f'{start}{join(children)}</{name}>')


def join(children: abc.Iterable[typing.Any]) -> Markup:
    """Return the children one after the other, escaped where needed."""
    return Markup(''.join(_flatten(children)))


def page(head: Markup, body: Markup) -> bytes:
    """Return a whole page."""
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
        shown = name.rstrip('_').replace('_', '-')
        if value is True:
            yield f' {shown}'
        else:
            yield f' {shown}="{html.escape(str(value))}"'
