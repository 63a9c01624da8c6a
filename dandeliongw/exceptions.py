"""Errors that end a command, with their exit codes and messages.

Refused requests are not exceptions: they are returned as values of
:class:`dandeliongw.verdict.Refusal`.
"""

from collections import abc
import enum
import sys
import typing

import msgspec


class ExitCode(enum.IntEnum):
    """Exit codes of the process; listed in docs/COMMANDS.md."""

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
    """One validation problem of a settings file or a document.

    :param path: path of the field, such as ``pools[2].service``; empty for
        the whole input.
    :param given: the value found there, shortened; never a secret.
    :param allowed: which values are valid.
    """

    path: str
    given: str
    allowed: str

    def __str__(self) -> str:
        where = self.path or 'the input'
        return f'{where}: {self.given}; {self.allowed}'


class DandeliongwError(Exception):
    """Base class of the errors that are shown to the user.

    :param message: one sentence with the bad value and the valid ones.
    """

    #: The exit code of the command.
    exit_code = ExitCode.INTERNAL

    def __init__(self, *, message: str) -> None:
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the text to show; a hook for subclasses."""
        return self.message

    def show(self, file: typing.TextIO | None = None) -> None:
        """Write the message to ``file``, by default standard error."""
        stream = sys.stderr if file is None else file
        stream.write(f'Error: {self.format_message()}\n')


class InvalidInput(DandeliongwError):
    """Invalid settings or an invalid document.

    :param problems: every problem found, not just the first.
    :param source: the file or body that has them, for the message.
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
    """A wrong argument, or a request that an instance rejected as invalid."""

    exit_code = ExitCode.BAD_INPUT


class PortInUse(DandeliongwError):
    """Another process already listens on a configured port.

    :param address: ``host:port`` as in the settings.
    :param field: the path of the field in the settings.
    """

    exit_code = ExitCode.PORT_IN_USE

    def __init__(self, *, address: str, field: str) -> None:
        self.address = address
        self.field = field
        super().__init__(
            message=(
                f'{field}: another process listens on {address}; '
                'stop it or configure another port'
            )
        )


class DataFolderUnusable(DandeliongwError):
    """The data folder can't be read, written or synced, or is in use.

    :param path: the folder.
    :param reason: the error that the operating system reported.
    """

    exit_code = ExitCode.DATA_FOLDER

    def __init__(self, *, path: str, reason: str) -> None:
        self.path = path
        self.reason = reason
        super().__init__(message=f'data folder {path!r}: {reason}')


class InstanceFailed(DandeliongwError):
    """A running instance must stop: its disk failed, or its id is in use."""

    exit_code = ExitCode.UNAVAILABLE


class ShutdownTimedOut(DandeliongwError):
    """A graceful shutdown timed out.

    :param requests: how many requests were aborted; they are logged.
    """

    exit_code = ExitCode.CUT_OFF

    def __init__(self, *, requests: int) -> None:
        self.requests = requests
        super().__init__(
            message=f'the shutdown aborted {requests} requests that were '
            'still in flight after timeouts.shutdown_s'
        )


class InstanceUnreachable(DandeliongwError):
    """No answer from an instance.

    :param url: the URL of the request.
    :param reason: the error of the connection.
    :param may_have_arrived: ``False`` only if no connection was established,
        so that nothing can have been sent.
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
    """An instance answered that the request can't be served now.

    A submitted change may still take effect.
    """

    exit_code = ExitCode.UNAVAILABLE


class Unauthorized(DandeliongwError):
    """The token doesn't belong to an operator."""

    exit_code = ExitCode.UNAUTHORIZED


class ChangeConflict(DandeliongwError):
    """Another change was accepted first; nothing was applied.

    :param expected_revision: the revision that the change is based on.
    :param revision: the current revision.
    :param author: the operator who made the current revision.
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
    """The change id belongs to another change; nothing was applied."""

    exit_code = ExitCode.CONFLICT

    def __init__(self, *, change_id: str) -> None:
        self.change_id = change_id
        super().__init__(
            message=(
                f'change id {change_id!r} already names another change; '
                'nothing was applied: use a new id'
            )
        )
