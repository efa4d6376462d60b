"""Messages between instances as named tuples, bound to the structs of relay.thrift."""

from enum import IntEnum
from typing import NamedTuple

from .idl import build
from .structs import STRUCTS

__all__ = [
    "MESSAGES",
    "Accepted",
    "Action",
    "ActionResult",
    "AskConfigurationAge",
    "AskQuota",
    "BeginTrial",
    "BlockedRequest",
    "BorrowPermit",
    "Cancel",
    "ConfigurationAge",
    "Document",
    "DocumentRevision",
    "EndTrial",
    "Failure",
    "FollowStore",
    "GatherShards",
    "GatheredPart",
    "GatheredParts",
    "HeaderField",
    "Heartbeat",
    "HeartbeatAck",
    "KnownLosses",
    "KnownRate",
    "Message",
    "Pull",
    "Quarantined",
    "QuotaPurpose",
    "QuotaReply",
    "RunAction",
    "ShardResult",
    "ShardResults",
    "ShareLosses",
    "StoreChange",
    "SubQuery",
    "Target",
    "TrialVerdict",
    "message",
    "struct_of",
]

_STRUCTS = build(STRUCTS)

#: An instance of any class in `MESSAGES`.
Message = tuple

#: Top-level messages by their type code on the wire.
MESSAGES: dict[int, type] = {}
_TYPE_CODES: dict[type, int] = {}
_CLASSES: dict[str, type] = {}


def message(code: int | None = None):
    """Return a class decorator that binds a named tuple to the thrift struct of the same name.

    A class with a `code` is a top-level message.
    """

    def bind(cls):
        cls.thrift_spec = _STRUCTS[cls.__name__].thrift_spec
        _CLASSES[cls.__name__] = cls
        if code is not None:
            MESSAGES[code] = cls
            _TYPE_CODES[cls] = code
        return cls

    return bind


def struct_of(cls: type) -> type:
    """Return the thrift struct that decodes into `cls`."""
    return _STRUCTS[cls.__name__]


def type_code(cls: type) -> int:
    """Return the type code of a top-level message class."""
    return _TYPE_CODES[cls]


def from_struct(value):
    """Convert a decoded struct or list, with all that it contains, into a named tuple or tuple.

    A scalar is returned as it is, and an unset field gets its default.
    """
    if isinstance(value, list):
        return tuple(from_struct(item) for item in value)
    cls = _CLASSES.get(type(value).__name__)
    if cls is None:
        return value
    defaults = cls._field_defaults
    fields = []
    for name in cls._fields:
        field = getattr(value, name)
        fields.append(defaults.get(name) if field is None else from_struct(field))
    return cls(*fields)


@message()
class DocumentRevision(NamedTuple):
    """The revision of a document that an instance holds."""

    name: str
    revision: int


@message()
class BlockedRequest(NamedTuple):
    """A blocked request fingerprint and the seconds until its block expires."""

    fingerprint: str
    seconds_left: int


@message(1)
class Heartbeat(NamedTuple):
    """Asks a member of the view to acknowledge the sender's epoch.

    `sender` is the number of the process, which identifies it when `instance` is empty. `acked` is
    the sequence number of a heartbeat for the same epoch that the receiver piggybacked on its last
    acknowledgement and that this message acknowledges, 0 for none; `holding` is then set as in
    `HeartbeatAck`. `whole` tells that `digest` has the revisions of all documents of the sender,
    not only those that the receiver has not acknowledged yet.
    """

    instance: str = ""
    incarnation: str = ""
    epoch: int = 0
    sequence: int = 0
    digest: tuple[DocumentRevision, ...] = ()
    blocked: tuple[BlockedRequest, ...] = ()
    sender: int = 0
    acked: int = 0
    holding: tuple[str, ...] = ()
    whole: bool = False


@message(2)
class HeartbeatAck(NamedTuple):
    """Acknowledges a heartbeat.

    `holding` names the backend servers that belong to another owner and on which the sender still
    has work or connections. `carried` is the sequence number of the sender's own heartbeat for the
    same epoch that is piggybacked on this message, 0 for none; `digest`, `whole` and `blocked`
    belong to that heartbeat, and the receiver acknowledges it with its next heartbeat.
    """

    instance: str = ""
    incarnation: str = ""
    epoch: int = 0
    sequence: int = 0
    digest: tuple[DocumentRevision, ...] = ()
    holding: tuple[str, ...] = ()
    sender: int = 0
    carried: int = 0
    blocked: tuple[BlockedRequest, ...] = ()
    whole: bool = False


@message()
class Target(NamedTuple):
    """A shard and the searcher to query for it."""

    shard: str
    searcher: str


@message(3)
class SubQuery(NamedTuple):
    """The part of a query that one owner runs; `deadline_ms` is Unix time in milliseconds."""

    query_id: str
    svc: str
    snapshot: str
    tenant: str
    body: bytes
    deadline_ms: int
    epoch: int
    targets: tuple[Target, ...]
    kind: str = "query"
    canary: bool = False


@message()
class ShardResult(NamedTuple):
    """The result of one searcher; `status` is `ok`, or `failed` with a code in `reason`."""

    query_id: str
    shard: str
    searcher: str
    status: str
    reason: str = ""
    snapshot: str = ""
    payload: bytes = b""
    held: tuple[str, ...] = ()
    service_us: int = 0
    queue_us: int = 0
    in_flight: int = 0
    limit: int = 0


@message(4)
class ShardResults(NamedTuple):
    """Shard results of one query that were ready at the same time and are sent together."""

    results: tuple[ShardResult, ...]


@message(5)
class Cancel(NamedTuple):
    """Cancels one sub-request of a query."""

    query_id: str
    shard: str
    searcher: str


@message(6)
class Action(NamedTuple):
    """Asks the coordinator of an idempotency key to run a non-idempotent request."""

    key: str
    svc: str
    route: str
    tenant: str
    body: bytes
    deadline_ms: int
    request_id: str


@message(7)
class ActionResult(NamedTuple):
    """The result of a non-idempotent request; `outcome` is `done`, `not_run` or `unknown`."""

    outcome: str
    code: str = ""
    message: str = ""
    payload: bytes = b""


@message(8)
class Pull(NamedTuple):
    """Asks for a document newer than `revision`."""

    name: str
    revision: int


@message(9)
class Document(NamedTuple):
    """A document with its revision; `value` is JSON."""

    name: str
    revision: int
    value: bytes = b""


@message(11)
class Accepted(NamedTuple):
    """States whether the receiver accepted what it was sent."""

    accepted: bool


@message(12)
class Failure(NamedTuple):
    """An error that a handler raised, with the fields of `RelayError`."""

    code: str
    message: str
    step: str = ""
    peer: str = ""
    ran: str = "unknown"


@message(13)
class RunAction(NamedTuple):
    """Asks the owner of a searcher to run a non-idempotent request that has been claimed."""

    request_id: str
    svc: str
    shard: str
    searcher: str
    tenant: str
    body: bytes
    deadline_ms: int
    epoch: int


@message(14)
class BeginTrial(NamedTuple):
    """Asks the coordinator of a fingerprint to grant a trial that ends within `left_ms`."""

    trial: str
    fingerprint: str
    left_ms: int


@message(15)
class TrialVerdict(NamedTuple):
    """A verdict of `decide.coordinator`, or `elsewhere` if the sender is not the coordinator."""

    verdict: str


@message(16)
class EndTrial(NamedTuple):
    """Reports the outcome of a trial: `succeeded`, `lost` or `ended`."""

    trial: str
    fingerprint: str
    outcome: str


@message(17)
class ShareLosses(NamedTuple):
    """Shares the recorded losses of a fingerprint with a member and asks for those it knows."""

    fingerprint: str
    losses: tuple[BlockedRequest, ...] = ()


@message(18)
class KnownLosses(NamedTuple):
    """The block of a fingerprint, or its losses, as far as a member knows them."""

    losses: tuple[BlockedRequest, ...] = ()


@message()
class HeaderField(NamedTuple):
    """A header of a relayed request."""

    name: str
    value: str


@message(19)
class GatherShards(NamedTuple):
    """Asks an instance to gather the parts of some shards; times are microseconds from now."""

    request_id: str
    #: Name of the route, by which latencies are recorded.
    kind: str
    method: str
    target: str
    headers: tuple[HeaderField, ...]
    body: bytes
    shards: tuple[str, ...]
    attempts: int
    #: Number of greatest records to return for all parts together.
    top_k: int
    target_us: int
    #: When the parts that have arrived are to be sent.
    answer_us: int
    deadline_us: int
    #: When the first message is to be sent, even without parts.
    first_us: int = 0
    #: For each shard, the searcher that the sender may ask too, packed by `decide.name_hashes`;
    #: empty if it asks none.
    marks: bytes = b""


@message()
class GatheredPart(NamedTuple):
    """The part of a shard, or the reason why there is none."""

    shard: str
    signature: str = ""
    reason: str = ""
    may_have_run: bool = False
    #: Whether the request was sent to a searcher, even to one that refused it.
    reached: bool = False


@message(20)
class GatheredParts(NamedTuple):
    """Parts that earlier messages did not contain, and the greatest of their records."""

    parts: tuple[GatheredPart, ...]
    records: bytes = b""


@message(21)
class FollowStore(NamedTuple):
    """Asks for the store items that the receiver reads, and then for each change of them.

    `whole` asks for all items first, the only mode that is supported.
    """

    whole: bool = True


@message(22)
class StoreChange(NamedTuple):
    """Items under a prefix of the store as compressed msgpack; a heartbeat if `prefix` is empty."""

    prefix: str = ""
    whole: bool = False
    revision: int = 0
    items: bytes = b""
    #: Longest time for which the change may have been in the store before it was read.
    age_us: int = 0
    #: The history to which the revision belongs.
    era: int = 0
    #: Time for which the sender may have missed changes.
    unknown_us: int = 0


@message(23)
class Quarantined(NamedTuple):
    """Tells an instance of requests that may not be sent to searchers any more."""

    requests: tuple[BlockedRequest, ...]


@message(24)
class BorrowPermit(NamedTuple):
    """Asks for a permit to send one request to a searcher that takes a limited rate of them.

    The other fields say what the sender knows of that rate, as in `KnownRate`.
    """

    searcher: str
    #: Unix milliseconds of the start of the searcher's process.
    started: int
    limit_milli: int = -1
    heard_us: int = -1


@message(25)
class KnownRate(NamedTuple):
    """What an instance knows of the rate that a searcher takes."""

    #: Requests per 1,000 s; -1 if the searcher states no limit.
    limit_milli: int = -1
    #: Age of the searcher's answer that stated this; -1 if there was none.
    heard_us: int = -1
    #: Whether the receiver may send one request now.
    lent: bool = False
    #: Time after which another permit may be lent.
    wait_us: int = 0


@message(26)
class AskConfigurationAge(NamedTuple):
    """Asks an instance for how long its configuration may have been out of date.

    The proof that the reply gives counts from the time at which this message was sent, so it stays
    true however late the reply is read.
    """

    #: Version that the sender has in force.
    version: int


@message(27)
class ConfigurationAge(NamedTuple):
    """States for how long the sender's configuration may have been out of date."""

    #: Version that the sender has in force; 0 for none.
    version: int = 0
    #: -1 if that is unknown.
    age_us: int = -1


class QuotaPurpose(IntEnum):
    """What an instance asks for with `AskQuota`."""

    #: A permit to run one request, from the owner of the workspace's quota.
    PERMIT = 1
    #: The share of the quota that the receiver lends to an owner.
    SHARE = 2
    #: Nothing; a permit that the receiver granted was not used.
    REFUND = 3
    #: Nothing; the share that the receiver has lent may go to another owner.
    RELEASE = 4
    #: A permit to hold in reserve for a later request.
    RESERVE = 5


@message(28)
class AskQuota(NamedTuple):
    """Asks an instance for a permit or a share of a workspace's quota, or gives one back."""

    workspace: str
    #: Name of the sender.
    asker: str = ""
    purpose: int = QuotaPurpose.PERMIT
    #: Rises with each question for a share; a release has that of the question by which
    #: the share was lent last.
    stamp: int = 0
    #: In a release, the time in which the share earns the tokens that are given back with it.
    idle_us: int = 0


@message(29)
class QuotaReply(NamedTuple):
    """Answers `AskQuota`.

    Permits and shares expire some time after they were asked for, so a late reply gives nothing.
    """

    granted: bool = False
    #: Whether the sender has enough shares to refuse in the name of the whole fleet.
    decided: bool = False
    #: Name of the instance to which the share, or most of the shares, are lent instead.
    holder: str = ""
    #: Time until another attempt may succeed.
    wait_us: int = 0
    #: Of a share: its part of the quota in billionths, a number that changes whenever the sender
    #: lends it to another instance, and the time for which nobody has held it.
    weight_ppb: int = 0
    term: int = 0
    idle_us: int = 0
    #: Whether the sender lends nothing to the receiver because it does not list it.
    unlisted: bool = False
    #: Whether the receiver may hold a permit in reserve from now on.
    reserved: bool = False
