"""Calculates costs at the target scale from measured slopes."""

from collections import abc
import dataclasses

from dandeliongw.cell import backend_state

from tools import capacity_fits as fits
from tools import capacity_idle as idle

KIB = 1024
DAY_S = 86400.0
#: Changes that the register records to detect a resend.
HISTORY = 10_000
#: Limits of what an instance may spend on control.
BYTES_PER_S = 3 * KIB
CPU_US_PER_S = 32_000.0
MEMORY_BYTES = 256 * KIB**2


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetScale:
    """The target scale of the design, with further assumptions.

    It is the scale expected after two years of growth.

    :param voters: assumed; at most 12 instances may be reserved for it.
    :param kv_bytes_per_token: assumed; with it, KV caches of 550 GB a
        second correspond to prompts of about 2,000 tokens.
    :param claimed_share: assumed fraction of the calls that have a claim.
    :param cell_size: replicas of a cell; ``None`` if pools aren't split.
    """

    instances: int = 350
    replicas: int = 1300
    requests_per_s: float = 2800.0
    tokens_per_s: float = 1.1e6
    token_gap_s: float = 0.034
    kv_bytes_per_s: float = 550e9
    accounts: int = 1200
    models: int = 6
    regions: int = 2
    changes_per_day: float = 1000.0
    in_force_s: float = 19.0
    voters: int = 11
    kv_bytes_per_token: float = 1e5
    claimed_share: float = 0.01
    retention_s: float = DAY_S
    cell_size: int | None = None

    @property
    def cells(self) -> int:
        """Number of cells; each has a lease."""
        whole = self.models * self.regions
        if self.cell_size is None:
            return whole
        return max(whole, -(-self.replicas // self.cell_size))

    @property
    def prompt_tokens(self) -> float:
        """Mean number of tokens of a prompt."""
        per_request = self.kv_bytes_per_s / self.requests_per_s
        return per_request / self.kv_bytes_per_token

    @property
    def held_s(self) -> float:
        """Mean seconds that a request holds its slot, without the prefill."""
        tokens = self.tokens_per_s / self.requests_per_s
        return tokens * self.token_gap_s

    @property
    def claims_per_s(self) -> float:
        return self.requests_per_s * self.claimed_share

    @property
    def changes_per_s(self) -> float:
        return self.changes_per_day / DAY_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """One item of the costs of a role.

    :param role: the role of an instance that has the costs.
    :param what: the work that causes them.
    :param carried_by: the modules that do the work.
    """

    role: str
    what: str
    carried_by: str
    bytes_per_s: float = 0.0
    messages_per_s: float = 0.0
    cpu_us_per_s: float = 0.0
    memory_bytes: float = 0.0

    def as_line(self) -> dict[str, object]:
        """Return the fields of its JSON line."""
        return {'cost': self.what} | {
            name: float(f'{value:.4g}') if isinstance(value, float) else value
            for name, value in dataclasses.asdict(self).items()
            if name != 'what'
        }


class Model:
    """Calculates the costs of each role.

    :param fits_by_name: all measured lines.
    :param process_us_per_s: processor time of an idle process without its
        messages.
    :param message_us: processor time of a message outside the reducer.
    :param process_bytes: resident memory of a process in a small system.
    :param renewal_us: processor time of a backend server's renewal over
        HTTP.
    """

    def __init__(
        self,
        *,
        fits_by_name: abc.Mapping[str, fits.Fit],
        process_us_per_s: float,
        message_us: float,
        process_bytes: float,
        renewal_us: float,
    ) -> None:
        self._fits_by_name = fits_by_name
        self._process_us_per_s = process_us_per_s
        self._message_us = message_us
        self._process_bytes = process_bytes
        self._renewal_us = renewal_us

    def costs(self, scale: TargetScale) -> list[Cost]:
        """Return all costs, sorted by role."""
        return [
            *self._every_instance(scale),
            *self._entry(scale),
            *self._owner(scale),
            *self._voter(scale),
        ]

    def _at(self, name: str, size: float) -> float:
        return self._fits_by_name[name].at(size)

    def _at_least_measured(self, name: str, size: float) -> float:
        """Return the value of the line, but at least the largest measured one.

        Where a value doesn't grow with size, noise can give the line a
        negative slope.
        """
        line = self._fits_by_name[name]
        return max(line.at(size), *(value for _, value in line.points))

    def _slope(self, name: str) -> float:
        return self._fits_by_name[name].slope

    def _every_instance(self, scale: TargetScale) -> list[Cost]:
        document = self._at('memory of the document', scale.accounts)
        history = self._at('memory of the history', HISTORY)
        return [
            Cost(
                role='every instance',
                what='the process, idle',
                carried_by='Python, CherryPy, grpclib, ticks',
                cpu_us_per_s=self._process_us_per_s,
                memory_bytes=self._process_bytes,
            ),
            Cost(
                role='every instance',
                what='probes, news, asks for the configuration',
                carried_by='membership, register',
                bytes_per_s=self._at_least_measured(
                    'entry idle bytes', scale.instances
                ),
                messages_per_s=self._at_least_measured(
                    'entry idle messages', scale.instances
                ),
                cpu_us_per_s=self._at_least_measured(
                    'entry idle processor time', scale.instances
                ),
                memory_bytes=self._at('memory of a reducer', scale.instances),
            ),
            Cost(
                role='every instance',
                what='changes of the document',
                carried_by='register',
                bytes_per_s=scale.changes_per_s
                * self._at('change bytes at an entry', scale.accounts),
                cpu_us_per_s=scale.changes_per_s
                * self._at(
                    'change processor time at an entry', scale.accounts
                ),
                memory_bytes=document + history,
            ),
        ]

    def _entry(self, scale: TargetScale) -> list[Cost]:
        rate = scale.requests_per_s / scale.instances
        replicas = scale.replicas / scale.instances
        sent = self._slope('renewal bytes of all together') / 2
        claims = scale.claims_per_s / scale.instances
        return [
            Cost(
                role='entry',
                what='renewals of backend servers, taken in and passed on',
                carried_by='presence',
                bytes_per_s=replicas * sent,
                messages_per_s=replicas * 2,
                cpu_us_per_s=replicas * self._renewal_us,
            ),
            self._requests('entry', 'the entries', rate, scale),
            self._bookings('entry', 'the entries', rate, scale),
            Cost(
                role='entry',
                what='claims of non-idempotent calls',
                carried_by='claims',
                bytes_per_s=claims
                * self._slope('claim bytes at the entries')
                * scale.voters
                / 5,
            ),
        ]

    def _requests(
        self, role: str, whose: str, rate: float, scale: TargetScale
    ) -> Cost:
        prompt = (
            self._slope('request bytes at its entry') * scale.prompt_tokens
        )
        return Cost(
            role=role,
            what='requests: book, start, release',
            carried_by='cells, requests',
            bytes_per_s=rate
            * (self._slope(f'request bytes at {whose}') + prompt),
            messages_per_s=rate * self._slope(f'request messages at {whose}'),
            cpu_us_per_s=rate
            * self._slope(f'request processor time at {whose}'),
        )

    def _bookings(
        self, role: str, whose: str, rate: float, scale: TargetScale
    ) -> Cost:
        held = rate * scale.held_s
        # Each entry sends one message a second to each cell that it uses.
        messages = (
            min(held, scale.cells / scale.regions)
            if role == 'entry'
            else min(held, scale.instances / scale.regions)
        )
        return Cost(
            role=role,
            what='bookings that are held, told once a second',
            carried_by='cells, requests',
            bytes_per_s=held * self._slope(f'held booking bytes at {whose}'),
            messages_per_s=messages,
            cpu_us_per_s=held
            * self._slope(f'held booking processor time at {whose}'),
            memory_bytes=held * 3 * KIB,
        )

    def _owner(self, scale: TargetScale) -> list[Cost]:
        replicas = scale.replicas / scale.cells
        rate = scale.requests_per_s / scale.cells
        role = 'owner of a cell'
        leases = self._slope('lease bytes of all together') / 2
        return [
            Cost(
                role=role,
                what='renewals and load reports of its backend servers',
                carried_by='presence, owner',
                bytes_per_s=self._at('renewal bytes at the owner', replicas),
                messages_per_s=self._at(
                    'renewal messages at the owner', replicas
                ),
                cpu_us_per_s=replicas
                * self._slope('renewal processor time at the owner'),
                memory_bytes=replicas
                * (
                    self._slope('memory of presence')
                    + self._at(
                        'memory of known prefixes', backend_state.MAX_BLOCKS
                    )
                ),
            ),
            self._requests(role, 'the owner', rate, scale),
            self._bookings(role, 'the owner', rate, scale),
            Cost(
                role=role,
                what='its lease',
                carried_by='leases',
                bytes_per_s=leases * scale.voters / 5,
                messages_per_s=4 * scale.voters,
                cpu_us_per_s=self._slope('lease processor time at a voter')
                * scale.voters,
            ),
        ]

    def _voter(self, scale: TargetScale) -> list[Cost]:
        askers = scale.instances / scale.voters
        role = 'voter and claim holder'
        copies = askers + 2
        kept = scale.claims_per_s * scale.retention_s
        return [
            Cost(
                role=role,
                what='asks for the configuration, checks among voters',
                carried_by='register',
                bytes_per_s=self._idle_voter('bytes', askers, scale),
                messages_per_s=self._idle_voter('messages', askers, scale),
                cpu_us_per_s=self._idle_voter('processor time', askers, scale),
            ),
            Cost(
                role=role,
                what='changes, given on to those who ask',
                carried_by='register',
                bytes_per_s=scale.changes_per_s
                * copies
                * self._at('change bytes at an entry', scale.accounts),
            ),
            Cost(
                role=role,
                what='leases that it grants',
                carried_by='leases',
                bytes_per_s=self._at('lease bytes at a voter', scale.cells),
                messages_per_s=self._at(
                    'lease messages at a voter', scale.cells
                ),
                cpu_us_per_s=self._at(
                    'lease processor time at a voter', scale.cells
                ),
            ),
            Cost(
                role=role,
                what='claims that it keeps',
                carried_by='claims, journal',
                bytes_per_s=scale.claims_per_s
                * self._slope('claim bytes at a voter'),
                messages_per_s=scale.claims_per_s * 4,
                cpu_us_per_s=scale.claims_per_s
                * self._slope('claim processor time at a voter'),
                memory_bytes=kept * self._slope('memory of claims'),
            ),
        ]

    def _idle_voter(
        self, quantity: str, askers: float, scale: TargetScale
    ) -> float:
        """Return the costs of a voter in excess of those of any instance."""
        by_voters = self._fits_by_name[f'voter idle {quantity}, by voters']
        by_askers = self._fits_by_name[f'voter idle {quantity}, by askers']
        sizes = [size for size, _ in by_voters.points]
        own = self._at_least_measured(
            f'entry idle {quantity}', sizes[-1] * idle.INSTANCES_PER_VOTER
        )
        more = by_askers.slope * (askers - idle.INSTANCES_PER_VOTER)
        return max(0.0, by_voters.at(scale.voters) + more - own)

    def cpu_of_messages(self, cost: Cost) -> float:
        """Return the processor time of a cost's messages outside the reducer.

        :returns: microseconds a second.
        """
        return cost.messages_per_s * self._message_us
