"""Errors that end a command, and how each shows itself to a person.

Refusals of requests are not errors of this kind: they are values, see
:class:`dandeliongw.verdict.Refusal`.
"""

from collections import abc
import enum
import sys
import typing

import msgspec


class ExitCode(enum.IntEnum):
    """What the process tells its parent; listed in docs/COMMANDS.md."""

    OK = 0
    INTERNAL = 1
    BAD_INPUT = 2
    UNAVAILABLE = 3
    CONFLICT = 4
    UNAUTHORIZED = 5
    PORT_IN_USE = 6
    DATA_FOLDER = 7
    CUT_OFF = 8


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """One fault in a settings file or a document.

    :param path: where the field is, such as ``pools[2].service``; empty for
        the whole input.
    :param given: what stood there, shortened; never a secret.
    :param allowed: what may stand there.
    """

    path: str
    given: str
    allowed: str

    def __str__(self) -> str:
        where = self.path or 'the input'
        return f'{where}: {self.given}; {self.allowed}'


class DandeliongwError(Exception):
    """The base of all errors that a person is meant to read.

    :param message: one sentence that names the bad value and the choices.
    """

    #: What the command exits with.
    exit_code = ExitCode.INTERNAL

    def __init__(self, *, message: str) -> None:
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the text for a person; a hook for subclasses."""
        return self.message

    def show(self, file: typing.TextIO | None = None) -> None:
        """Write the message to ``file``, by default standard error."""
        stream = sys.stderr if file is None else file
        stream.write(f'Error: {self.format_message()}\n')


class InvalidInput(DandeliongwError):
    """Settings or a document with at least one problem.

    :param problems: every problem that was found, not just the first.
    :param source: the file or body they were found in, for the message.
    """

    exit_code = ExitCode.BAD_INPUT

    def __init__(
        self, *, problems: abc.Iterable[Problem], source: str = ''
    ) -> None:
        self.problems = tuple(problems)
        self.source = source
        super().__init__(message='; '.join(map(str, self.problems)))

    def format_message(self) -> str:
        count = len(self.problems)
        noun = 'problem' if count == 1 else 'problems'
        place = f' in {self.source}' if self.source else ''
        lines = [f'{count} {noun}{place}']
        lines += [f'  {problem}' for problem in self.problems]
        return '\n'.join(lines)


class UsageError(DandeliongwError):
    """A command line that can't be carried out as it was given."""

    exit_code = ExitCode.BAD_INPUT


class PortInUse(DandeliongwError):
    """Another process listens where this one should.

    :param address: ``host:port`` as in the settings.
    :param field: the path of the settings' field.
    """

    exit_code = ExitCode.PORT_IN_USE

    def __init__(self, *, address: str, field: str) -> None:
        self.address = address
        self.field = field
        super().__init__(
            message=(
                f'{field}: another process listens on {address}; '
                'end it or name another port'
            )
        )


class DataFolderUnusable(DandeliongwError):
    """The data folder can't be read, written or synced, or is in use.

    :param path: the folder.
    :param reason: what went wrong, as the system told it.
    """

    exit_code = ExitCode.DATA_FOLDER

    def __init__(self, *, path: str, reason: str) -> None:
        self.path = path
        self.reason = reason
        super().__init__(message=f'data folder {path!r}: {reason}')


class InstanceFailed(DandeliongwError):
    """A running instance can't go on: its disk failed, or its id is taken."""

    exit_code = ExitCode.UNAVAILABLE


class ShutdownTimedOut(DandeliongwError):
    """A graceful shutdown ran out of time.

    :param requests: how many were broken off; the log names them.
    """

    exit_code = ExitCode.CUT_OFF

    def __init__(self, *, requests: int) -> None:
        self.requests = requests
        super().__init__(
            message=f'the shutdown broke off {requests} requests that were '
            'in flight after timeouts.shutdown_s'
        )


class InstanceUnreachable(DandeliongwError):
    """No answer from an instance.

    :param url: what was asked.
    :param reason: what the connection reported.
    :param may_have_arrived: ``False`` only if no connection was made, so
        that nothing can have been sent.
    """

    exit_code = ExitCode.UNAVAILABLE

    def __init__(
        self, *, url: str, reason: str, may_have_arrived: bool = True
    ) -> None:
        self.url = url
        self.reason = reason
        self.may_have_arrived = may_have_arrived
        super().__init__(message=f'no answer from {url}: {reason}')


class ServiceUnavailable(DandeliongwError):
    """An instance answered that it can't tell or do this now.

    A change that was asked for may still take effect.
    """

    exit_code = ExitCode.UNAVAILABLE


class Unauthorized(DandeliongwError):
    """The token isn't that of an operator."""

    exit_code = ExitCode.UNAUTHORIZED


class ChangeConflict(DandeliongwError):
    """Another change came first; nothing was applied.

    :param expected_revision: the revision that the change was made from.
    :param revision: the current one.
    :param author: the operator who made the current one.
    """

    exit_code = ExitCode.CONFLICT

    def __init__(
        self, *, expected_revision: int, revision: int, author: str
    ) -> None:
        self.expected_revision = expected_revision
        self.revision = revision
        self.author = author
        super().__init__(
            message=(
                f'the change was made from revision {expected_revision}, but '
                f'{author!r} has since made revision {revision}; nothing was '
                'applied: read the current document and make the change again'
            )
        )


class ChangeIdReused(DandeliongwError):
    """A change id that already names another change; nothing was applied."""

    exit_code = ExitCode.CONFLICT

    def __init__(self, *, change_id: str) -> None:
        self.change_id = change_id
        super().__init__(
            message=(
                f'change id {change_id!r} already names another change; '
                'nothing was applied: use a new id'
            )
        )
