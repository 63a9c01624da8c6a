"""Events and effects of the register, re-exported by :mod:`.register`."""

import msgspec


class Propose(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's request to replace the document.

    :param change_id: idempotency key: the same for every resend of one
        change.
    :param expected_revision: the revision that the document was made from.
    """

    now: float
    ticket: str
    change_id: str
    author: str
    expected_revision: int
    document: bytes
    entropy: int


class ProposeOrdered(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's request to replace the document by a numbered one.

    :param order: the change takes effect if this is above the number that
        the register holds.
    """

    now: float
    ticket: str
    order: int
    author: str
    document: bytes
    entropy: int


class ContactsFound(msgspec.Struct, frozen=True, kw_only=True):
    """Instances to get the voters from, or that may be the first voters.

    :param instance_ids: the same at every instance where ``may_form``.
    :param may_form: whether these are the first voters of a system that has
        never run. Never set it at a restart: instances whose disks were
        lost would form a second register beside the existing one.
    """

    now: float
    instance_ids: tuple[str, ...]
    may_form: bool


class WithdrawJoining(msgspec.Struct, frozen=True, kw_only=True):
    """A request to abandon a change of the voters whose new disk is gone.

    :param number: version of the sets of voters that is meant (see
        ``Voters.number``); ignored if the register holds another one.
    """

    now: float
    number: int
    entropy: int


class RemoveVoter(msgspec.Struct, frozen=True, kw_only=True):
    """A request to remove one voter of an even number.

    :param number: version of the sets of voters that is meant (see
        ``Voters.number``); ignored if the register holds another one.
    """

    now: float
    number: int
    instance_id: str
    entropy: int


class InstancesChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The instances that are known to be alive, this one included."""

    now: float
    instance_ids: tuple[str, ...]


class CaughtUp(msgspec.Struct, frozen=True, kw_only=True):
    """The other state that voters keep has been copied to this disk.

    The daemon posts it at an instance that joins the voters, once the parts
    other than the register hold what a majority of the present voters held
    *after* :class:`VotersChanged` named this instance as joining.

    :param disk_id: the disk that has caught up.
    """

    now: float
    disk_id: str
    entropy: int


class ConfigurationChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: another configuration was confirmed by a majority."""

    revision: int
    document: bytes


class OtherRegisterSeen(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: an instance holds a configuration of another system.

    It was ignored. Told once for each instance.
    """

    sender: str


class VotersChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: other voters were confirmed by a majority.

    :param joining_by_id: the set that is to replace the voters; empty when
        no change of the voters is in progress.
    :param number: version of the two sets; grows with every change and is
        the same at every instance.
    """

    voters_by_id: dict[str, str]
    joining_by_id: dict[str, str]
    number: int
