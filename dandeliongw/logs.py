"""Structured logging: one JSON line per event, with secrets redacted."""

from collections import abc
import contextlib
import json
import sys
import traceback
import typing

from loguru import logger

from . import _log_writer
from . import _secrets

HIDDEN = _secrets.HIDDEN

writing = _log_writer.writing

#: Shorter secrets are not redacted, as they would match unrelated text.
_SHORTEST_SECRET = 8


def configure(
    *,
    instance_id: str,
    data_centre: str,
    level: str = 'INFO',
    secrets: abc.Iterable[str] = (),
    stream: typing.TextIO | None = None,
    lines: _log_writer.LineWriter | None = None,
) -> None:
    """Write all logs of this process as JSON lines to one output.

    :param instance_id: added to every line.
    :param data_centre: added to every line.
    :param level: the least severe level that is written.
    :param secrets: texts that are redacted wherever they occur, such as in
        the message of a library's exception.
    :param stream: standard error by default; the logging thread blocks while
        it is written.
    :param lines: a non-blocking writer, used instead of a stream.
    """
    output = sys.stderr if stream is None else stream
    writer = _Writer(
        common={'instance': instance_id, 'data_centre': data_centre},
        secrets=secrets,
        put=lines.put if lines is not None else _direct(output),
    )
    logger.remove()
    # Loguru's tracebacks show the values of variables, which may be secrets;
    # the writer formats exceptions without them.
    logger.add(writer.write, level=level, format='{message}', diagnose=False)


@contextlib.contextmanager
def bound(
    *, request_id: str, attempt_id: str | None = None
) -> abc.Iterator[None]:
    """Add these ids to every line logged in this thread or task."""
    ids = {'request_id': request_id}
    if attempt_id is not None:
        ids['attempt_id'] = attempt_id
    with logger.contextualize(**ids):
        yield


def redact(name: str, value: typing.Any) -> typing.Any:
    """Return ``value``, or ``HIDDEN`` if the field's name means a secret.

    Values inside dicts and lists are redacted in the same way.
    """
    if _secrets.is_secret(name):
        return HIDDEN
    if isinstance(value, dict):
        return {key: redact(str(key), part) for key, part in value.items()}
    if isinstance(value, (list, tuple)):
        return [redact(name, part) for part in value]
    return value


def _direct(stream: typing.TextIO) -> abc.Callable[[str, str], None]:
    def put(kind: str, line: str) -> None:
        stream.write(line + '\n')
        stream.flush()

    return put


class _Writer:
    """Formats loguru's records as JSON lines."""

    def __init__(
        self,
        *,
        common: dict[str, str],
        secrets: abc.Iterable[str],
        put: abc.Callable[[str, str], None],
    ) -> None:
        self._common = common
        # Compared with encoded JSON, in which quotes are escaped.
        self._secrets = [
            json.dumps(secret, ensure_ascii=False)[1:-1]
            for secret in secrets
            if len(secret) >= _SHORTEST_SECRET
        ]
        self._put = put

    def write(self, message: typing.Any) -> None:
        fields = self._fields(message.record)
        line = json.dumps(fields, ensure_ascii=False, default=str)
        for secret in self._secrets:
            line = line.replace(secret, HIDDEN)
        # The rate limit applies per source line, whatever the fields are.
        self._put(f'{fields["module"]}:{fields["line"]}', line)

    def _fields(self, record: typing.Any) -> dict[str, typing.Any]:
        about_process = {
            **self._common,
            'module': record['name'],
            'line': record['line'],
        }
        fields = {
            'time': record['time'].isoformat(),
            'level': record['level'].name,
            'message': record['message'],
        }
        for name, value in record['extra'].items():
            # An extra field must not overwrite a common one, such as the
            # instance.
            is_used = name in fields or name in about_process
            unused = f'extra_{name}' if is_used else name
            fields[unused] = redact(name, value)
        # Last, as lines may be cut: what a line says of its event matters
        # more than where it was written.
        fields |= about_process
        if record['exception'] is not None:
            fields['exception'] = ''.join(
                traceback.format_exception(record['exception'].value)
            )
        return fields
