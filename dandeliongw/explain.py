"""Reconstructs the history of one request from the instances' logs."""

from collections import abc
import json
import pathlib
import typing

from . import exceptions

#: Messages of log lines that record the end of a request.
ENDS = ('call answered', 'call streamed', 'call refused', 'call broken off')
#: Messages of log lines that record a change in an instance's view of
#: members, backend servers, configuration and leases. They belong to no
#: particular request.
BELIEFS = (
    'member believed',
    'many members believed',
    'backend server is present',
    'backend server is gone',
    'backend server distrusted',
    'backend server trusted again',
    'configuration in force',
    'configuration not confirmed in time',
    'configuration confirmed again',
    'owns a cell',
    'owns a cell no more',
    'an engine is moved to another pool',
    'binding resource changed',
)
#: Messages of log lines that record, by the fingerprint of a call or of a
#: part of prompts, why it is or was quarantined.
EVIDENCE = (
    'backend server ended under a call',
    'call quarantined',
    'prompt part quarantined',
    'quarantined call is tried',
    'call released',
    'prompt part released',
)
#: Fields of log lines that contain such fingerprints, separated by spaces.
_SUSPECT_FIELDS = ('call', 'part', 'parts', 'suspects')
#: Seconds before a request's first line from which on beliefs are included.
BELIEFS_BEFORE_S = 5.0

Line = dict[str, typing.Any]


def explain(request_id: str, paths: abc.Iterable[str]) -> Line:
    """Return a request's log lines in order, with related lines.

    ``beliefs`` are the view changes of the instances that handled the
    request, from shortly before it until its end. ``evidence`` are the
    quarantine lines of the same call, from all instances at any time.

    :param request_id: the id that the client sent, or the full id, which is
        that id followed by a dot and a suffix.
    :raises UsageError: for a file that can't be read, or if no line of the
        request is found.
    """
    all_lines = [line for path in paths for line in _read(path)]
    own = [line for line in all_lines if _belongs_to(line, request_id)]
    if not own:
        raise exceptions.UsageError(
            message=(
                f'no line of request {request_id!r} in {len(all_lines)} '
                'lines; give the logs of all instances, including rotated '
                'ones'
            )
        )
    own.sort(key=lambda line: line['time'])
    instances = {line['instance'] for line in own}
    return {
        'request_id': request_id,
        'end': _end(own),
        'lines': own,
        'evidence': _evidence(all_lines, own),
        'beliefs': _beliefs(all_lines, instances, own[0], own[-1]),
    }


def _end(own: abc.Sequence[Line]) -> str | None:
    """Return how the request ended; ``None`` if no line records it."""
    for line in reversed(own):
        if line['message'] in ENDS:
            reason = line.get('reason', line.get('status', ''))
            return f'{line["message"]}: {reason}'
    return None


def _evidence(
    all_lines: abc.Iterable[Line], own: abc.Sequence[Line]
) -> list[Line]:
    """Return the quarantine lines of the call, of all instances and times.

    Lines on other calls are included if they concern a part of the prompt for
    which this one was held back.
    """
    suspects = set().union(*(_suspects(line) for line in own))
    found = [
        line
        for line in all_lines
        if line['message'] in EVIDENCE and suspects & _suspects(line)
    ]
    return sorted(found, key=lambda line: line['time'])


def _suspects(line: Line) -> set[str]:
    """Return the fingerprints of calls and parts that a line names."""
    return {
        fingerprint
        for field in _SUSPECT_FIELDS
        for fingerprint in str(line.get(field, '')).split()
    }


def _beliefs(
    all_lines: abc.Iterable[Line],
    instances: abc.Container[str],
    first: Line,
    last: Line,
) -> list[Line]:
    begin = _seconds(first) - BELIEFS_BEFORE_S
    end = _seconds(last)
    found = [
        line
        for line in all_lines
        if line['message'] in BELIEFS
        and line['instance'] in instances
        and begin <= _seconds(line) <= end
    ]
    return sorted(found, key=lambda line: line['time'])


def _seconds(line: Line) -> float:
    """Return the time of day of a line, in seconds.

    The date is ignored: logs are expected to be read soon after the request.
    """
    clock = line['time'][11:].partition('+')[0]
    hours, minutes, seconds = clock.split(':')
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def _belongs_to(line: Line, request_id: str) -> bool:
    logged = str(line.get('request_id', ''))
    return logged == request_id or logged.startswith(f'{request_id}.')


def _read(path: str) -> abc.Iterator[Line]:
    """Yield the JSON log lines of instances; skip any other text."""
    try:
        text = pathlib.Path(path).read_text(errors='replace')
    except OSError as error:
        raise exceptions.UsageError(
            message=f'{path} cannot be read: {error.strerror}'
        )
    for raw in text.splitlines():
        begin = raw.find('{')
        if begin < 0:
            continue
        try:
            line = json.loads(raw[begin:])
        except ValueError:
            continue
        if isinstance(line, dict) and {'time', 'instance', 'message'} <= (
            line.keys()
        ):
            yield line
