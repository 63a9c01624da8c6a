"""Feature switches of the scheduler, for tools that compare variants."""

import enum

import msgspec


class Order(enum.Enum):
    """The order of queued work."""

    #: First come, first served.
    ARRIVAL = 'arrival'
    #: By latest start: urgent work goes before patient work, unless that has
    #: waited almost as long as it may.
    DEADLINE = 'deadline'
    #: By the rank of its priority.
    RANK = 'rank'


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Features of the scheduler that can be switched off.

    :param queue: let admitted work wait at the owner for a slot; refuse
        what can't meet its first-token target.
    :param order: of queued work.
    :param foresee: predict a wait with the work of better rank that will
        arrive meanwhile and go first.
    :param affinity: prefer a prefill engine that has cached the prefix.
    :param links: book the links of a prefill and a decode engine as well.
    :param cap: use fewer slots where the token gap would miss its target.
    :param sizes: refuse prompts that no engine can hold.
    :param weigh: let the document's weights decide how long a KV cache may
        wait for a link.
    :param fair: limit accounts to their share when the cell is full.
    :param spare: safety margin of predicted starts, as a part of the longest
        wait.
    :param health: eject failing backend servers; slow start for new ones.
    :param timely: within a rank, work that can still meet its target goes
        before work that can't; after a burst only the surplus is late, not
        all.
    """

    queue: bool = True
    order: Order = Order.RANK
    foresee: bool = True
    affinity: bool = True
    links: bool = True
    health: bool = True
    fair: bool = True
    spare: float = 0.1
    cap: bool = True
    timely: bool = True
    sizes: bool = True
    weigh: bool = True
