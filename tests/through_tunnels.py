"""Connects to backend servers through another instance only."""

import contextlib

from dandeliongw import paths
from dandeliongw import tunnels


class Through:
    """Connects through another instance only; a ``paths.Connector``."""

    def __init__(self, far):
        self._far = far

    def connect(self, host, port, timeout_s):
        target = tunnels.Address(host=host, port=port)
        opened = tunnels.open_through(
            self._far, target, timeout_s=timeout_s, secret=None
        )
        return paths._connection(target, opened.connection)

    def suspect(self, host, port):
        pass

    def has_departed(self, host, port):
        return False


@contextlib.contextmanager
def connecting():
    """Yield a connector and serve its tunnels."""
    with tunnels.serving(
        host='127.0.0.1',
        port=0,
        secret=None,
        may_connect=lambda address: True,
    ) as far:
        yield Through(tunnels.Address(host=far.host, port=far.port))
