"""Messages between instances as named tuples, bound to the structs of relay.thrift."""

from typing import NamedTuple

from .idl import build
from .structs import STRUCTS

__all__ = [
    "MESSAGES",
    "Accepted",
    "Action",
    "ActionResult",
    "BeginTrial",
    "BlockedRequest",
    "Cancel",
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
    "Message",
    "Pull",
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

#: Any class in `MESSAGES`.
Message = tuple

#: Top-level messages by their type code on the wire.
MESSAGES: dict[int, type] = {}
_CODES: dict[type, int] = {}
_PARTS: dict[str, type] = {}


def message(code: int | None = None):
    """Bind a named tuple to the struct of the same name; `code` marks a top-level message."""

    def bind(cls):
        cls.thrift_spec = _STRUCTS[cls.__name__].thrift_spec
        _PARTS[cls.__name__] = cls
        if code is not None:
            MESSAGES[code] = cls
            _CODES[cls] = code
        return cls

    return bind


def struct_of(cls: type) -> type:
    """Return the thrift struct that decodes into `cls`."""
    return _STRUCTS[cls.__name__]


def type_code(cls: type) -> int:
    """Return the type code of a top-level message class."""
    return _CODES[cls]


def from_struct(value):
    """Convert a decoded struct, list or scalar into named tuples and tuples."""
    if isinstance(value, list):
        return tuple(from_struct(item) for item in value)
    cls = _PARTS.get(type(value).__name__)
    if cls is None:
        return value
    fields = cls._field_defaults
    parts = []
    for name in cls._fields:
        part = getattr(value, name)
        parts.append(fields.get(name) if part is None else from_struct(part))
    return cls(*parts)


@message()
class DocumentRevision(NamedTuple):
    """The revision of a document that an instance holds."""

    name: str
    revision: int


@message()
class BlockedRequest(NamedTuple):
    """A fingerprint that is blocked, with the time that remains in seconds."""

    fingerprint: str
    seconds_left: int


@message(1)
class Heartbeat(NamedTuple):
    """Asks a member of the view to acknowledge the sender's epoch.

    `sender` is the number of the process; without `instance` the receiver knows the process by it.
    `acked` is the carried heartbeat of the receiver, for the same epoch, that this acknowledges,
    with `holding` as in an acknowledgement; 0 for none.
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


@message(2)
class HeartbeatAck(NamedTuple):
    """Acknowledges a heartbeat; `holding` lists servers of another owner still being given up.

    `carried` is the sequence number of a heartbeat of the sender for the same epoch, 0 for none,
    to which `digest` and `blocked` belong; the next heartbeat acknowledges it.
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


@message()
class Target(NamedTuple):
    """A shard and the searcher that is asked for it."""

    shard: str
    searcher: str


@message(3)
class SubQuery(NamedTuple):
    """The part of a query that one owner runs; `deadline_ms` is Unix time."""

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
    """What one searcher answered; `status` is `ok` or `failed` with a reason code."""

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
    """Shard results of one query that were ready at the same time."""

    results: tuple[ShardResult, ...]


@message(5)
class Cancel(NamedTuple):
    """Gives up one sub-request of a query."""

    query_id: str
    shard: str
    searcher: str


@message(6)
class Action(NamedTuple):
    """A non-idempotent request on its way to the coordinator of its key."""

    key: str
    svc: str
    route: str
    tenant: str
    body: bytes
    deadline_ms: int
    request_id: str


@message(7)
class ActionResult(NamedTuple):
    """Outcome `done`, `not_run` or `unknown` of a non-idempotent request."""

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
    """Says whether the receiver took over what it was sent."""

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
    """A claimed non-idempotent request on its way to the owner of a searcher."""

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
    """Asks the coordinator of a fingerprint for a trial that ends within `left_ms`."""

    trial: str
    fingerprint: str
    left_ms: int


@message(15)
class TrialVerdict(NamedTuple):
    """A verdict of `decide.coordinator`, or `elsewhere` if the sender is not the coordinator."""

    verdict: str


@message(16)
class EndTrial(NamedTuple):
    """Reports what a trial showed: `succeeded`, `lost` or `ended`."""

    trial: str
    fingerprint: str
    outcome: str


@message(17)
class ShareLosses(NamedTuple):
    """Makes a member take over the losses of a fingerprint and asks for those that it knows."""

    fingerprint: str
    losses: tuple[BlockedRequest, ...] = ()


@message(18)
class KnownLosses(NamedTuple):
    """The block or the losses of a fingerprint that a member knows."""

    losses: tuple[BlockedRequest, ...] = ()


@message()
class HeaderField(NamedTuple):
    """A header of a relayed request."""

    name: str
    value: str


@message(19)
class GatherShards(NamedTuple):
    """Asks an instance to gather the parts of some shards; times in microseconds from now."""

    request_id: str
    #: Name of the route, under which latencies are kept.
    kind: str
    method: str
    target: str
    headers: tuple[HeaderField, ...]
    body: bytes
    shards: tuple[str, ...]
    attempts: int
    #: Greatest records that are sent back for all parts together.
    top_k: int
    target_us: int
    #: When the parts that are in are wanted.
    answer_us: int
    deadline_us: int
    #: When the first message is wanted, even without parts.
    first_us: int = 0
    #: For each shard the searcher that the sender may ask as well, as `decide.marks` packs them;
    #: empty when it asks none.
    marks: bytes = b""


@message()
class GatheredPart(NamedTuple):
    """The part of a shard, or the reason why there is none."""

    shard: str
    signature: str = ""
    reason: str = ""
    may_have_run: bool = False
    #: Whether a searcher has been sent the request, be it that it refused it.
    reached: bool = False


@message(20)
class GatheredParts(NamedTuple):
    """Parts that were not sent before, and the greatest of their records."""

    parts: tuple[GatheredPart, ...]
    records: bytes = b""


@message(21)
class FollowStore(NamedTuple):
    """Asks for the items of the store that the receiver reads, and then for each change.

    `whole` asks for all items first, which is the only way so far.
    """

    whole: bool = True


@message(22)
class StoreChange(NamedTuple):
    """Items under a prefix of the store as compressed msgpack; without a prefix a heartbeat."""

    prefix: str = ""
    whole: bool = False
    revision: int = 0
    items: bytes = b""
