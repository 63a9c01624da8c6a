"""Which decisions the scheduler makes, for tools that compare versions."""

import enum

import msgspec


class Order(enum.Enum):
    """Who goes first among those who wait."""

    ARRIVAL = 'arrival'
    #: By the latest start that still meets the target: urgent work passes
    #: patient work until that has waited as long as it may.
    DEADLINE = 'deadline'
    RANK = 'rank'


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Which decisions are made; earlier versions lack the later ones.

    :param queue: let admitted work wait at the owner for a slot; refuse
        what can't meet its first-token target.
    :param order: of those who wait.
    :param foresee: count on the work that will pass while one waits.
    :param affinity: prefer a prefill engine that has cached the prefix.
    :param links: book the links with the pair.
    :param cap: hold the token gap by using fewer slots.
    :param weigh: let the document's weights say how long a KV cache may
        wait for a link.
    :param fair: hold accounts to their share when the cell is full.
    :param spare: part of the longest wait that predictions must leave over.
    :param health: leave out what keeps failing; let new ones in slowly.
    :param timely: within a rank, work that can still meet its target passes
        work that can't; after a burst only the surplus is late, not all.
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
    weigh: bool = True
