"""The ``dandeliongw`` command line.

Every command but ``serve`` writes JSON to standard output and messages to
standard error; docs/COMMANDS.md lists the exit codes.
"""

from collections import abc
import json
import pathlib
import sys
import typing
import uuid

import defopt

from . import __version__
from . import client
from . import document as documents
from . import exceptions
from . import explain as explain_module
from . import gc_control
from . import models
from . import settings as settings_module


def serve(settings: str, /) -> None:
    """Run this instance until it gets SIGTERM.

    A first SIGTERM shuts down without interrupting a request in flight.

    :param settings: path of this instance's settings file
    """
    found = settings_module.load_settings(settings)
    gc_control.disable_gc()
    # Imported here, as no other command needs the daemon's parts.
    from . import server

    server.serve(found)


def check(file: str, /) -> None:
    """Tell whether a file holds valid settings or a valid document.

    :param file: path of a settings file or a document
    """
    body = _read(file)
    tree = models.load_json(body, file)
    if isinstance(tree, dict) and 'instance_id' in tree:
        found = settings_module.parse_settings(body, file)
        _show({'kind': 'settings', 'instance_id': found.instance_id})
    elif isinstance(tree, dict) and 'version' in tree:
        document = documents.parse_document(body, file)
        _show({'kind': 'document', 'services': list(_names(document))})
    else:
        raise exceptions.UsageError(
            message=(
                f'{file} is neither: settings have an "instance_id", '
                'a document has a "version"'
            )
        )


def apply(
    document: str,
    /,
    *,
    url: str,
    token_file: str,
    expected_revision: int,
    change_id: str | None = None,
) -> None:
    """Make a document the next revision, if no other change came first.

    If no answer comes the change may still take effect: run the command
    again with the change id that it names, which never applies it twice.

    :param document: path of the document
    :param url: the control address of any instance, as http://10.0.1.5:7001
    :param token_file: path of a file that holds the operator's token
    :param expected_revision: revision the change was made from; see "show"
    :param change_id: names this change; chosen by default
    """
    found = documents.parse_document(_read(document), document)
    named = change_id or uuid.uuid4().hex
    tree = json.loads(documents.document_bytes(found))
    caller = _make_client(url, token_file)
    try:
        answer = caller.put_document(tree, expected_revision, named)
    except exceptions.InstanceUnreachable as error:
        _tell_change_id(named, error.may_have_arrived)
        raise
    except exceptions.ServiceUnavailable:
        _tell_change_id(named, True)
        raise
    _show(answer | {'change_id': named})


def show(*, url: str, token_file: str) -> None:
    """Show the current document with its revision and author.

    :param url: the control address of any instance, as http://10.0.1.5:7001
    :param token_file: path of a file that holds the operator's token
    """
    _show(_make_client(url, token_file).get('/v1/document'))


def status(*, url: str, token_file: str) -> None:
    """Show instances, leases and how far the last change has come.

    :param url: the control address of any instance, as http://10.0.1.5:7001
    :param token_file: path of a file that holds the operator's token
    """
    _show(_make_client(url, token_file).get('/v1/status'))


def backends(*, url: str, token_file: str) -> None:
    """Show the backend servers that have announced themselves.

    :param url: the control address of any instance, as http://10.0.1.5:7001
    :param token_file: path of a file that holds the operator's token
    """
    _show(_make_client(url, token_file).get('/v1/backends'))


def quarantine(*, url: str, token_file: str) -> None:
    """Show the calls under which backend servers ended, held ones first.

    :param url: the control address of any instance, as http://10.0.1.5:7001
    :param token_file: path of a file that holds the operator's token
    """
    _show(_make_client(url, token_file).get('/v1/quarantine'))


def lift(call: str, /, *, url: str, token_file: str, reason: str) -> None:
    """Let a call that is held back be sent again, at every instance.

    :param call: its fingerprint, as "quarantine" shows it
    :param url: the control address of any instance, as http://10.0.1.5:7001
    :param token_file: path of a file that holds the operator's token
    :param reason: why it may run again; shown with your name
    """
    _show(_make_client(url, token_file).lift(call, reason))


def entries(*, url: str) -> None:
    """Show which addresses callers are told to use.

    :param url: the callers' address of any instance, as http://10.0.1.5:7000
    """
    _show(client.Client(url=url).get('/v1/entries'))


def explain(request_id: str, /, *logs: str) -> None:
    """Tell what became of one request, from the logs of the instances.

    :param request_id: as its caller named it, or as a log line does
    :param logs: paths of log files, of as many instances as there are
    """
    _show(explain_module.explain(request_id, logs))


COMMANDS = (
    *(serve, check, apply, show, status, backends),
    *(quarantine, lift, entries, explain),
)


def main(argv: abc.Sequence[str] | None = None) -> int:
    """Run one command and return the process's exit code.

    :param argv: the arguments without the program's name; those of the
        process by default.
    """
    arguments = sys.argv[1:] if argv is None else list(argv)
    try:
        defopt.run(
            {command.__name__: command for command in COMMANDS},
            argv=arguments or ['--help'],
            argparse_kwargs={
                'prog': 'dandeliongw',
                'description': (
                    'A router for separate prefill and decode pools. '
                    'Start with "check" on your settings and document, '
                    'then "serve" on each instance, then "apply".'
                ),
            },
            version=__version__,
            # Short flags would change meaning as commands grow.
            short={},
        )
    except exceptions.DandeliongwError as error:
        error.show()
        return error.exit_code
    except SystemExit as stop:
        # How argparse ends after --help (0) and a wrong argument (2).
        return stop.code if isinstance(stop.code, int) else 1
    return exceptions.ExitCode.OK


def _tell_change_id(change_id: str, may_have_arrived: bool) -> None:
    if may_have_arrived:
        fate = 'The change may still take effect.'
    else:
        fate = 'Nothing was sent: this run changed nothing.'
    sys.stderr.write(
        f'{fate} Run the same command again with --change-id {change_id}\n'
    )


def _make_client(url: str, token_file: str) -> client.Client:
    # The token comes by file: other users can see a process's arguments.
    token = _read(token_file).decode(errors='replace').strip()
    if not token.isascii() or not token.isprintable() or not token:
        raise exceptions.UsageError(
            message=f'{token_file} does not hold a token: one line of ASCII'
        )
    return client.Client(url=url, token=token)


def _read(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise exceptions.UsageError(
            message=f'{path} cannot be read: {error.strerror}'
        )


def _names(document: documents.Document) -> abc.Iterable[str]:
    return document.services_by_name.keys()


def _show(value: typing.Any) -> None:
    sys.stdout.write(json.dumps(value, indent=2, ensure_ascii=False) + '\n')
