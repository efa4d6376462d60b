"""Members of a cell and the owner of each backend server, by rendezvous hashing."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

__all__ = ["Identity", "Member", "owner", "ranked"]


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

    @property
    def identity(self) -> Identity:
        """The process that this member is."""
        return Identity(self.instance, self.incarnation)


def score(instance: str, name: str) -> int:
    """Return the rendezvous score of an instance for a name; the highest one owns it."""
    return xxhash.xxh64_intdigest(f"{instance}\0{name}".encode())


def ranked(instances: Iterable[str], name: str) -> list[str]:
    """Return the instances by falling score for a name; the order of the input is irrelevant."""
    return sorted(instances, key=lambda instance: (-score(instance, name), instance))


def owner(members: Iterable[Member], name: str) -> Member | None:
    """Return the member that owns a backend server or claim bucket, None without members."""
    return min(
        members, key=lambda member: (-score(member.instance, name), member.instance), default=None
    )
