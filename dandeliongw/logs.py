"""JSON lines, one event a line, without secrets."""

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

#: A shorter one would blank out innocent text.
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
    """Send all logs of this process to one place, as JSON lines.

    :param secrets: texts that are blanked out wherever they turn up, such
        as in the message of somebody else's exception.
    :param stream: standard error by default; who logs waits for it.
    :param lines: takes the lines in place of a stream, without a wait.
    """
    output = sys.stderr if stream is None else stream
    writer = _Writer(
        common={'instance': instance_id, 'data_centre': data_centre},
        secrets=secrets,
        put=lines.put if lines is not None else _direct(output),
    )
    logger.remove()
    # Loguru's own tracebacks show the values of variables, which may be
    # secrets; the writer formats exceptions without them.
    logger.add(writer.write, level=level, format='{message}', diagnose=False)


@contextlib.contextmanager
def bound(
    *, request_id: str, attempt_id: str | None = None
) -> abc.Iterator[None]:
    """Put these ids on every line logged in this thread or task."""
    ids = {'request_id': request_id}
    if attempt_id is not None:
        ids['attempt_id'] = attempt_id
    with logger.contextualize(**ids):
        yield


def redact(name: str, value: typing.Any) -> typing.Any:
    """Return ``value``, or a mark where the field's name tells a secret."""
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
    """Turns loguru's records into lines."""

    def __init__(
        self,
        *,
        common: dict[str, str],
        secrets: abc.Iterable[str],
        put: abc.Callable[[str, str], None],
    ) -> None:
        self._common = common
        # As they look inside JSON: a quote in a secret would be escaped.
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
        # Lines from one place are of one kind, whatever they name.
        self._put(f'{fields["module"]}:{fields["line"]}', line)

    def _fields(self, record: typing.Any) -> dict[str, typing.Any]:
        fields = {
            'time': record['time'].isoformat(),
            'level': record['level'].name,
            'message': record['message'],
            **self._common,
            'module': record['name'],
            'line': record['line'],
        }
        for name, value in record['extra'].items():
            # A bound field must not pass itself off as another instance's.
            free = name if name not in fields else f'extra_{name}'
            fields[free] = redact(name, value)
        if record['exception'] is not None:
            fields['exception'] = ''.join(
                traceback.format_exception(record['exception'].value)
            )
        return fields
