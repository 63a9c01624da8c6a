"""A CherryPy application that leaks nothing and logs as all else does."""

import logging
import typing

import cherrypy
from loguru import logger

_COMMON = {
    'request.show_tracebacks': False,
    # CherryPy would log the headers of a failed request, and with them the
    # token, key or cookie of whoever asked.
    'tools.log_headers.on': False,
}


def make_application(
    root: typing.Any, configuration: dict[str, dict[str, typing.Any]]
) -> cherrypy.Application:
    """Return an application that is mounted nowhere.

    Faults inside a handler go to the JSON log with their traceback; the
    client gets none of it. Nothing global in CherryPy is changed.

    :param configuration: CherryPy's, by path; goes before the common one.
    """
    application = cherrypy.Application(root, script_name='')
    application.merge({'/': _COMMON})
    application.merge(configuration)
    application.log.error_log.propagate = False
    application.log.error_log.handlers = [_LoguruHandler()]
    # Access lines hold whatever the client sent, and are no JSON.
    application.log.access_log.propagate = False
    application.log.access_log.handlers = [logging.NullHandler()]
    return application


class _LoguruHandler(logging.Handler):
    """Hands CherryPy's error log on."""

    def emit(self, record: logging.LogRecord) -> None:
        is_error = record.levelno >= logging.ERROR
        logger.opt(exception=record.exc_info).log(
            'ERROR' if is_error else 'DEBUG', record.getMessage()
        )
