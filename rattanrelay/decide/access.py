"""Whether a request's key is good, and until when an instance may rely on the keys that it knows.

The load: a key that was taken away is tried on every instance, also on those that were cut off from
the store or suspended meanwhile, or that hear of changes late.
"""

import hashlib
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

__all__ = ["Access", "KeyCheck", "RevocationBound", "check_key", "key_digest"]

#: Bytes of a digest: enough that no two keys share one.
DIGEST_BYTES = 16
#: Separates these digests from those of other uses of the same text.
DIGEST_PERSON = b"rattanrelay-key"
#: Share of the time after which a removed key must not be used any more, in which an instance
#: relies on its configuration; the rest is for the time between the check and the reading clocks.
RELIED_SHARE = 0.85


class RevocationBound(NamedTuple):
    """How long a key may be used after the store has acknowledged its removal."""

    #: Time in seconds.
    seconds: float
    #: Whether it holds for instances that cannot learn of the removal, too.
    strict: bool = False


class Access(Enum):
    """Result of a check of a key."""

    GRANTED = "granted"
    #: The configuration does not have the key.
    UNKNOWN = "unknown_key"
    #: The configuration is too old to tell.
    UNVERIFIED = "unverified_key"


class KeyCheck(NamedTuple):
    """Result of a check, and the name of the workspace that holds the key."""

    access: Access
    workspace: str = ""


def key_digest(key: str) -> str:
    """Return the form in which a key is kept and logged.

    Keys are looked up by it, so the time of a look-up tells nothing about the characters of a key.
    """
    return hashlib.blake2b(
        key.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES, person=DIGEST_PERSON
    ).hexdigest()


def check_key(key: str, keys: Mapping[str, str], age: float, bound: RevocationBound) -> KeyCheck:
    """Check a key against the keys of a configuration.

    `keys` has the workspaces by the digests of their keys. `age` is the time in seconds for which a
    newer configuration may have been in the store.
    """
    current = age < RELIED_SHARE * bound.seconds
    workspace = keys.get(key_digest(key)) if key else None
    if workspace is None:
        # An instance that may have missed the version with this key must not reject its caller.
        return KeyCheck(Access.UNKNOWN if current or not key else Access.UNVERIFIED)
    if bound.strict and not current:
        return KeyCheck(Access.UNVERIFIED)
    return KeyCheck(Access.GRANTED, workspace)
