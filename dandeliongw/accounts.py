"""Client accounts: keys, rates and priorities.

They are part of the document. A key is stored as its SHA-256 only. Its digest
is looked up in a hash table: the time of a look-up may tell something about
digests, but a digest leads to no key, as keys are too long to guess.
"""

from collections import abc
import functools
import typing

from . import exceptions
from . import models

RateUnit = typing.Literal['requests', 'tokens']


class Rate(models.Model):
    """How much work an account may ask for, at all instances together."""

    per_s: models.Positive
    """Amount per second in the long run; more is refused."""
    burst: models.NonNegative = 0.0
    """Amount that may be asked for at once, after a pause."""
    unit: RateUnit = 'requests'
    """``tokens``: a request counts as its prompt and its longest answer."""
    plain_tokens: models.PositiveInt = 1
    """What a request without a token count counts as, with ``tokens``."""

    def weigh(self, tokens: int) -> float:
        """Return the amount that a request counts as.

        :param tokens: of its prompt and its longest answer; 0 if not given.
        """
        if self.unit == 'requests':
            return 1.0
        return float(tokens or self.plain_tokens)


class Account(models.Model):
    """A client account."""

    name: models.Name
    """The name of the account, for operators and backend servers."""
    key_sha256: models.Sha256 | None = None
    """SHA-256 of the account's key; the key itself is never stored."""
    more_keys_sha256: tuple[models.Sha256, ...] = ()
    """SHA-256 of further keys, as while a key is being replaced."""
    services: tuple[models.Name, ...] = ()
    """The services that the account may call by name."""
    share: models.Positive = 1.0
    """Weight relative to other accounts when requests have to queue."""
    max_in_flight: models.PositiveInt | None = None
    """Concurrent requests through one entry; more are refused."""
    requests_per_s: models.Positive | None = None
    """Short for a ``rate`` in requests, with a burst of one second's worth."""
    rate: Rate | None = None
    """The rate at all instances together; without one there is no limit."""
    priority: models.Name | None = None
    """Priority of calls by service whose route has none. For calls by host it
    goes before the route's."""

    @functools.cached_property
    def keys_sha256(self) -> tuple[str, ...]:
        """The digests of all keys."""
        first = () if self.key_sha256 is None else (self.key_sha256,)
        return (*first, *self.more_keys_sha256)

    @functools.cached_property
    def limit(self) -> Rate | None:
        """The rate that is enforced; ``None`` if there is none."""
        if self.requests_per_s is None:
            return self.rate
        return Rate(
            per_s=self.requests_per_s, burst=max(1.0, self.requests_per_s)
        )


def find_problems(
    accounts: abc.Sequence[Account],
    services: abc.Collection[str],
    priorities: abc.Collection[str],
) -> abc.Iterator[exceptions.Problem]:
    """Yield inconsistencies of the accounts with the rest of the document."""
    yield from models.find_duplicates(
        [account.name for account in accounts], 'accounts', 'name'
    )
    yield from _find_shared_keys(accounts)
    for index, account in enumerate(accounts):
        path = f'accounts[{index}]'
        yield from _find_conflicts(account, path)
        for place, service in enumerate(account.services):
            yield from models.find_unknown(
                service, services, f'{path}.services[{place}]'
            )
        if account.priority is not None:
            yield from models.find_unknown(
                account.priority, priorities, f'{path}.priority'
            )


def _find_conflicts(
    account: Account, path: str
) -> abc.Iterator[exceptions.Problem]:
    if account.requests_per_s is not None and account.rate is not None:
        yield exceptions.Problem(
            path=f'{path}.requests_per_s',
            given='given together with rate',
            allowed='give one of them',
        )
    if account.services and account.priority is None:
        yield exceptions.Problem(
            path=f'{path}.priority',
            given='not given',
            allowed='an account that may call services needs it',
        )


def _find_shared_keys(
    accounts: abc.Sequence[Account],
) -> abc.Iterator[exceptions.Problem]:
    first_by_digest: dict[str, int] = {}
    for index, account in enumerate(accounts):
        for place, digest in enumerate(account.keys_sha256):
            first = first_by_digest.setdefault(digest, index)
            if first == index and digest not in account.keys_sha256[:place]:
                continue
            is_first = account.key_sha256 is not None and place == 0
            field = 'key_sha256' if is_first else 'more_keys_sha256'
            yield exceptions.Problem(
                path=f'accounts[{index}].{field}',
                given='a value that is not shown',
                allowed=f'already given in accounts[{first}]',
            )
