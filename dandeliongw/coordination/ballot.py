"""Numbers that order the attempts to write the register."""

import msgspec


class Ballot(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """The identity of one attempt; no two attempts ever share one.

    A proposer without a disk loses its numbers at a restart. If it reused
    (number, proposer), two different values could be accepted under one
    ballot, and readers that compare ballots would take them for the same
    value. The nonce makes every ballot unique.

    :param number: higher than every number that the proposer has seen.
    :param proposer: instance id.
    :param nonce: 64 random bits drawn for this attempt.
    """

    number: int
    proposer: str
    nonce: int
