"""Claims of non-idempotent requests: which request may run, decided by compare-and-swap.

A claim is written to the store before the request is dispatched. The functions here apply a batch
of operations to a stored slice; their caller writes the result against the version that it read.
"""

import uuid
from typing import Literal, NamedTuple

import msgspec
import xxhash

from ..errors import RelayError

__all__ = [
    "BUCKETS",
    "CLAIM_WINDOW_S",
    "MAX_SLICE_CLAIMS",
    "MAX_STORED_PAYLOAD",
    "Claim",
    "Finish",
    "Operation",
    "Record",
    "Release",
    "Slice",
    "Verdict",
    "apply_operations",
    "bucket_name",
    "bucket_of",
    "decode_slice",
    "encode_slice",
    "expired_slices",
    "fingerprint",
    "finished_record",
    "key_time",
    "slice_key",
]

BUCKETS = 16
CLAIM_WINDOW_S = 3600.0
FUTURE_SKEW_S = 5.0
SLICE_S = 60
#: Slices are kept for this time after their keys stop being accepted, so that instances whose
#: clocks differ by less than this never accept a key whose claim was deleted.
DELETE_MARGIN_S = 600.0
#: Larger payloads, in bytes, are not stored; a repeated request then gets `done` without the
#: payload.
MAX_STORED_PAYLOAD = 1024
#: A slice full of the largest records stays below 1 MB, the largest value that the store accepts.
MAX_SLICE_CLAIMS = 600

RecordState = Literal["claimed", "done"]


class Record(NamedTuple):
    """A stored claim; `code` and `payload` belong to the outcome `done`."""

    fingerprint: str
    claim_id: str
    state: RecordState = "claimed"
    code: str = ""
    payload: bytes = b""


#: The claims of one bucket and one span of key times, by key.
Slice = dict[str, Record]


class Claim(NamedTuple):
    """Request for the right to run the request of a key."""

    key: str
    fingerprint: str
    claim_id: str


class Finish(NamedTuple):
    """Request to store the outcome of a key whose request ran."""

    key: str
    fingerprint: str
    claim_id: str
    code: str
    payload: bytes


class Release(NamedTuple):
    """Request to delete a claim whose request certainly did not run."""

    key: str
    claim_id: str


Operation = Claim | Finish | Release


class Verdict(NamedTuple):
    """Result of an operation.

    `granted`: the claim is held by this request. `stored`: the key ran before, and `record` has the
    outcome. `unknown`: another claim holds the key and has no outcome. `key_reused`: the key
    belongs to a request with another fingerprint. `full`: the slice accepts no more claims.
    `settled`: a `Finish` or `Release` was applied or had nothing to change.
    """

    kind: Literal["granted", "stored", "unknown", "key_reused", "full", "settled"]
    record: Record | None = None


def key_time(key: str, now: float) -> float:
    """Return the Unix time in a UUID version 7 key; raises `bad_key` or `key_expired`."""
    try:
        parsed = uuid.UUID(key)
    except ValueError as error:
        raise RelayError("bad_key", "Idempotency-Key must be a UUID", step="check key") from error
    if parsed.version != 7:
        raise RelayError("bad_key", "Idempotency-Key must be a UUID version 7", step="check key")
    created = (parsed.int >> 80) / 1000
    if not now - CLAIM_WINDOW_S <= created <= now + FUTURE_SKEW_S:
        text = f"the key was created {now - created:.0f} s ago; at most {CLAIM_WINDOW_S:.0f} s"
        raise RelayError("key_expired", text, step="check key")
    return created


def bucket_of(key: str) -> int:
    """Return the bucket of a key."""
    return xxhash.xxh64_intdigest(key.lower().encode()) % BUCKETS


def bucket_name(bucket: int) -> str:
    """Return the name whose owner is the coordinator of a bucket."""
    return f"claims/{bucket}"


def slice_key(key: str, created: float) -> str:
    """Return the store key of the slice that holds a key."""
    return f"{bucket_name(bucket_of(key))}/{int(created) // SLICE_S}"


def fingerprint(tenant: str, service: str, route: str, body: bytes) -> str:
    """Return the fingerprint of a request, which must be the same for each use of a key."""
    head = "\0".join((tenant, service, route, "")).encode()
    return xxhash.xxh128_hexdigest(head + body)


def expired_slices(keys: list[str], now: float) -> list[str]:
    """Return the slices whose keys have all left the claim window by `DELETE_MARGIN_S`."""
    oldest = int(now - CLAIM_WINDOW_S - DELETE_MARGIN_S) // SLICE_S
    return [key for key in keys if int(key.rpartition("/")[2]) < oldest]


def decode_slice(value: bytes) -> Slice:
    """Decode a stored slice; raises `msgspec.ValidationError`."""
    return msgspec.json.decode(value, type=dict[str, Record])


def encode_slice(records: Slice) -> bytes:
    """Encode a slice for the store."""
    return msgspec.json.encode(records)


def apply_operations(
    records: Slice, operations: list[Operation]
) -> tuple[Slice, list[Verdict], bool]:
    """Apply operations in order; return the new slice, their verdicts and whether it changed."""
    updated = dict(records)
    verdicts = [_apply(updated, operation) for operation in operations]
    return updated, verdicts, updated != records


def _apply(records: Slice, operation: Operation) -> Verdict:
    if isinstance(operation, Claim):
        return _claim(records, operation)
    held = records.get(operation.key)
    if held is None or held.claim_id != operation.claim_id:
        return Verdict("settled", held)
    if held.state == "done":
        return Verdict("settled", held)
    if isinstance(operation, Release):
        del records[operation.key]
    else:
        records[operation.key] = finished_record(operation)
    return Verdict("settled")


def finished_record(operation: Finish) -> Record:
    """Return the record to store for an outcome, without a payload that is too large."""
    payload = operation.payload if len(operation.payload) <= MAX_STORED_PAYLOAD else b""
    return Record(operation.fingerprint, operation.claim_id, "done", operation.code, payload)


def _claim(records: Slice, claim: Claim) -> Verdict:
    held = records.get(claim.key)
    if held is None and len(records) >= MAX_SLICE_CLAIMS:
        return Verdict("full")
    if held is None:
        records[claim.key] = Record(claim.fingerprint, claim.claim_id)
        return Verdict("granted")
    if held.fingerprint != claim.fingerprint:
        return Verdict("key_reused", held)
    if held.state == "done":
        return Verdict("stored", held)
    if held.claim_id == claim.claim_id:
        return Verdict("granted")
    return Verdict("unknown", held)
