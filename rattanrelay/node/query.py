"""A caller's query and its answer within the entry side."""

from typing import Any, NamedTuple

from ..decide.gather import Coverage

__all__ = ["Answer", "Query"]


class Query(NamedTuple):
    """A validated query; `deadline` is a trio time, `body` the JSON that is sent to each shard."""

    request_id: str
    service: str
    tenant: str
    body: bytes
    limit: int
    deadline: float
    request_class: str = "default"


class Answer(NamedTuple):
    """One merged answer; all hits are from `snapshot`."""

    request_id: str
    snapshot: str
    coverage: Coverage
    hits: list[dict[str, Any]]
    count: int
