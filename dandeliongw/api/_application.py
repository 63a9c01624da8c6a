"""CherryPy applications that log as JSON and hide internal errors."""

import logging
import typing

import cherrypy
from loguru import logger

_COMMON = {
    'request.show_tracebacks': False,
    # Without this, CherryPy would log the headers of a failed request, and
    # with them the client's token, key or cookie.
    'tools.log_headers.on': False,
}


def make_application(
    root: typing.Any, configuration: dict[str, dict[str, typing.Any]]
) -> cherrypy.Application:
    """Return an application that isn't mounted.

    Errors inside a handler are written to the JSON log with a traceback,
    which the client doesn't get. CherryPy's global state is unchanged.

    :param configuration: CherryPy's configuration by path; it overrides the
        common one.
    """
    application = cherrypy.Application(root, script_name='')
    application.merge({'/': _COMMON})
    application.merge(configuration)
    application.log.error_log.propagate = False
    application.log.error_log.handlers = [_LoguruHandler()]
    # Access log lines contain unchecked client input and aren't JSON.
    application.log.access_log.propagate = False
    application.log.access_log.handlers = [logging.NullHandler()]
    return application


class _LoguruHandler(logging.Handler):
    """Forwards CherryPy's error log to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        is_error = record.levelno >= logging.ERROR
        logger.opt(exception=record.exc_info).log(
            'ERROR' if is_error else 'DEBUG', record.getMessage()
        )
