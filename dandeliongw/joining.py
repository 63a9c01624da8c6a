"""How a starting instance finds the others: it asks seeds.

A seed is the control address of some instance. Whoever is asked says who it
is and which instances it knows; membership does the rest. Seeds are asked
again now and then, so that two halves of a system that lost each other for
longer than they remember their members meet again.
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
from . import models
from . import settings as settings_module
from .borders import _application

PATH = '/v1/members'
#: Seconds between rounds until the seeds are known: a start is not to wait
#: for it, and no seed need listen yet when it is asked first.
HURRIED_S = 0.1
#: Seconds between two later questions, each to one seed.
CALM_S = 5.0
#: Seconds to wait for one seed; a machine that is cut off answers nothing.
PATIENCE_S = 0.5
#: Failed rounds after which the log says that no seed answers.
ROUNDS_TO_TELL = 50


class FoundInstance(models.Model):
    """Where others reach an instance."""

    instance_id: models.Name
    """Its id."""
    host: settings_module.IpNumber
    """The IP number that others connect to."""
    port: settings_module.Port
    """Its ``peer`` port."""


class Members(models.Model):
    """What an instance answers to one that joins."""

    instance_id: models.Name
    """Who answers."""
    instances: tuple[FoundInstance, ...]
    """All that it knows to run, itself included."""


def make_application(
    read: abc.Callable[[], Members],
) -> cherrypy.Application:
    """Return the application that answers ``GET /v1/members``.

    It asks for no token: instances that join have nothing but an address.
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
    """Asks the seeds on a thread of its own and posts what they say.

    :param read_seeds: the present seeds; they may change while running.
    :param forms: whether the seeds form the register of a new system.
    :param post: hands an event to the reducer.
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
        self._ids_by_seed: dict[str, str] = {}
        self._rounds = 0
        self._wake = threading.Event()
        self._stopped = False
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(PATIENCE_S)
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

    def hurry(self) -> None:
        """Read the seeds again and ask them all, now."""
        self._ids_by_seed.clear()
        self._wake.set()

    def _run(self) -> None:
        while not self._stopped:
            seeds = [each.show() for each in self._read_seeds()]
            has_joined = self._has_joined(seeds)
            self._ask(random.sample(seeds, 1 if has_joined else len(seeds)))
            self._wake.wait(CALM_S if self._has_joined(seeds) else HURRIED_S)
            self._wake.clear()

    def _has_joined(self, seeds: abc.Sequence[str]) -> bool:
        """Whether enough is known to leave the rest to membership.

        A new system needs all its seeds, which are its first voters; one
        that runs needs somebody else who knows it.
        """
        others = self._ids_by_seed.keys() - {self._own_address}
        if self._forms:
            return set(seeds) <= self._ids_by_seed.keys()
        return bool(others) or set(seeds) <= {self._own_address}

    def _ask(self, seeds: abc.Sequence[str]) -> None:
        self._rounds += 1
        answered = [self._ask_one(seed) for seed in seeds]
        if not any(answered) and self._rounds % ROUNDS_TO_TELL == 0:
            logger.warning('no seed answers', seeds=', '.join(seeds))

    def _ask_one(self, seed: str) -> bool:
        try:
            response = self._http.request('GET', f'http://{seed}{PATH}')
            members = Members.model_validate_json(response.data)
        except (urllib3.exceptions.HTTPError, pydantic.ValidationError) as e:
            logger.debug(f'a seed did not answer: {e}', seed=seed)
            return False
        if seed not in self._ids_by_seed:
            logger.info('a seed answered', seed=seed, peer=members.instance_id)
        self._ids_by_seed[seed] = members.instance_id
        self._tell(members)
        return True

    def _tell(self, members: Members) -> None:
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
