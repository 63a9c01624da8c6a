"""Discovery: a starting instance finds the others through seeds.

A seed is the control address of an instance. It responds with its own id and
the instances that it has in its membership; gossip then spreads the rest.
Seeds are queried repeatedly. This rejoins two halves of a system after a
network partition that lasted longer than they keep lost members.
"""

from collections import abc
import functools
import random
import threading
import typing

import cherrypy
from loguru import logger
import pydantic
import urllib3

from . import events
from . import message_framing
from . import models
from . import settings as settings_module
from .api import _application

PATH = '/v1/members'
#: Seconds between rounds of queries until this instance has joined. It is
#: short so as not to delay the start, and since seeds may not yet listen when
#: they are first queried.
JOINING_INTERVAL_S = 0.1
#: Seconds between later queries, each to one random seed.
JOINED_INTERVAL_S = 5.0
#: Timeout in seconds of a query to one seed. A machine that is disconnected
#: does not respond at all.
SEED_TIMEOUT_S = 0.5
#: Longest answer of a seed, in bytes; an instance takes some 100 in it.
MAX_ANSWER_BYTES = 1 << 20
#: Number of rounds between two warnings that no seed responds.
ROUNDS_PER_WARNING = 50


class FoundInstance(models.Model):
    """Address at which other instances connect to an instance."""

    instance_id: models.Name
    """Id of the instance."""
    host: settings_module.IpAddress
    """IP address that other instances connect to."""
    port: settings_module.Port
    """Its ``peer`` port."""


class Members(models.Model):
    """Response of an instance to one that joins."""

    instance_id: models.Name
    """Id of the instance that responds."""
    instances: tuple[FoundInstance, ...]
    """All instances that it considers alive, including itself."""


def make_application(
    read: abc.Callable[[], Members],
) -> cherrypy.Application:
    """Return the application that answers ``GET /v1/members``.

    It requires no token: an instance that joins has only an address.
    """
    return _application.make_application(_Root(read=read), {})


class _Root:
    def __init__(self, *, read: abc.Callable[[], Members]) -> None:
        self.v1 = _Version(read=read)


class _Version:
    def __init__(self, *, read: abc.Callable[[], Members]) -> None:
        self._read = read

    @cherrypy.expose
    def members(self) -> bytes:
        cherrypy.response.headers['Content-Type'] = 'application/json'
        return self._read().model_dump_json().encode()


class Joiner:
    """Queries the seeds on its own thread and posts their responses.

    :param read_seeds: returns the current seeds; they may change at runtime.
    :param forms: whether the seeds form the register of a new system.
    :param post: queues an event for the reducer.
    :param own_address: this instance's control address, which may be a seed.
    """

    def __init__(
        self,
        *,
        read_seeds: abc.Callable[[], abc.Sequence[settings_module.Address]],
        forms: bool,
        own_address: str,
        post: abc.Callable[[abc.Callable[..., typing.Any]], None],
    ) -> None:
        self._read_seeds = read_seeds
        self._forms = forms
        self._own_address = own_address
        self._post = post
        #: Instance id of each seed that has responded.
        self._ids_by_seed: dict[str, str] = {}
        self._rounds = 0
        self._wake = threading.Event()
        self._stopped = False
        self._http = message_framing.PoolManager(
            retries=False, timeout=urllib3.Timeout(SEED_TIMEOUT_S)
        )
        self._thread = threading.Thread(
            target=self._run, name='joining', daemon=True
        )

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopped = True
        self._wake.set()
        self._thread.join()

    def query_now(self) -> None:
        """Read the seeds again and query all of them at once."""
        self._ids_by_seed.clear()
        self._wake.set()

    def _run(self) -> None:
        while not self._stopped:
            seeds = [each.show() for each in self._read_seeds()]
            has_joined = self._has_joined(seeds)
            self._query(random.sample(seeds, 1 if has_joined else len(seeds)))
            self._wake.wait(
                JOINED_INTERVAL_S
                if self._has_joined(seeds)
                else JOINING_INTERVAL_S
            )
            self._wake.clear()

    def _has_joined(self, seeds: abc.Sequence[str]) -> bool:
        """Whether enough seeds have responded; membership finds the rest.

        A new system needs all its seeds, since they are its first voters. To
        join a running system, one seed other than this instance is enough.
        """
        others = self._ids_by_seed.keys() - {self._own_address}
        if self._forms:
            return set(seeds) <= self._ids_by_seed.keys()
        return bool(others) or set(seeds) <= {self._own_address}

    def _query(self, seeds: abc.Sequence[str]) -> None:
        self._rounds += 1
        answered = [self._query_one(seed) for seed in seeds]
        if not any(answered) and self._rounds % ROUNDS_PER_WARNING == 0:
            logger.warning('no seed responds', seeds=', '.join(seeds))

    def _query_one(self, seed: str) -> bool:
        try:
            _, body = self._http.fetch(
                'GET', f'http://{seed}{PATH}', max_bytes=MAX_ANSWER_BYTES
            )
            members = Members.model_validate_json(body)
        except (urllib3.exceptions.HTTPError, pydantic.ValidationError) as e:
            logger.debug('seed query failed', seed=seed, reason=str(e))
            return False
        if seed not in self._ids_by_seed:
            logger.info('seed responded', seed=seed, peer=members.instance_id)
        self._ids_by_seed[seed] = members.instance_id
        self._post_members(members)
        return True

    def _post_members(self, members: Members) -> None:
        seeds = [each.show() for each in self._read_seeds()]
        first: tuple[str, ...] = ()
        if self._forms and set(seeds) <= self._ids_by_seed.keys():
            first = tuple(sorted(self._ids_by_seed[each] for each in seeds))
        found = tuple(
            events.FoundInstance(
                instance_id=each.instance_id, host=each.host, port=each.port
            )
            for each in members.instances
        )
        self._post(
            functools.partial(
                events.InstancesFound, instances=found, first_voters=first
            )
        )
