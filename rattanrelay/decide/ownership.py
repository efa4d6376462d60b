"""Members of a cell and the owner of each backend server, by weighted rendezvous hashing."""

import math
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

__all__ = ["Identity", "Member", "Score", "owner", "ranked", "weighted_score"]

#: Bits of a score that the weighted score uses: they select one of 2**FRACTION_BITS intervals of
#: [0, 1). The middle of an interval is a float above 0 and below 1, so its logarithm is neither
#: infinite nor 0.
FRACTION_BITS = 52
SCORE_BITS = 64


class Identity(NamedTuple):
    """One process: the name of its instance and the incarnation, which a restart changes."""

    instance: str
    incarnation: str


class Member(NamedTuple):
    """A member of a view; `address` is `host:port` of its peer listener."""

    instance: str
    incarnation: str
    address: str
    failure_domain: str
    #: Share of the backend servers relative to the other members; a member of weight 0 owns none.
    weight: int = 1

    @property
    def identity(self) -> Identity:
        """The process that this member is."""
        return Identity(self.instance, self.incarnation)


class Score(NamedTuple):
    """Weighted rendezvous score; scores compare as tuples, and the highest score owns the name.

    `plain` is the unweighted score. It breaks ties between equal values of `weighted`, and with
    equal weights both give the same order.
    """

    weighted: float
    plain: int


def score(instance: str, name: str) -> int:
    """Return the rendezvous score of an instance for a name; the highest score owns it."""
    return xxhash.xxh64_intdigest(f"{instance}\0{name}".encode())


def weighted_score(instance: str, weight: int, name: str) -> Score:
    """Return the weighted score -weight / ln(h), where h in (0, 1) comes from `score`.

    The probability of having the highest score is proportional to the weight. Weight 0 gives the
    lowest score.
    """
    if weight <= 0:
        return Score(0.0, 0)
    plain = score(instance, name)
    fraction = ((plain >> (SCORE_BITS - FRACTION_BITS)) + 0.5) / (1 << FRACTION_BITS)
    return Score(-weight / math.log(fraction), plain)


def ranked(instances: Iterable[str], name: str) -> list[str]:
    """Return the instances by descending score for a name, independent of their input order."""
    return sorted(instances, key=lambda instance: (-score(instance, name), instance))


def owner(members: Iterable[Member], name: str) -> Member | None:
    """Return the member that owns a backend server or claim bucket.

    None when no member has a weight above 0.
    """
    able = [member for member in members if member.weight > 0]
    equal = len({member.weight for member in able}) == 1
    order = _plain_order if equal else _weighted_order
    return min(able, key=lambda member: order(member, name), default=None)


def _plain_order(member: Member, name: str) -> tuple[int, str]:
    """Return a sort key for equal weights; same order as the weighted key but faster."""
    return -score(member.instance, name), member.instance


def _weighted_order(member: Member, name: str) -> tuple[float, int, str]:
    weighted, plain = weighted_score(member.instance, member.weight, name)
    return -weighted, -plain, member.instance
