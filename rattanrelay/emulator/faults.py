"""Faults of a searcher that are set at run time."""

import msgspec

__all__ = ["SearcherFaults"]


class SearcherFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Active faults; the defaults mean a healthy searcher.

    A searcher reports its load and state in the headers `X-Load` and `X-State` and in the body of
    `GET /status`.
    """

    #: Refuse all work with 503 `shedding`.
    shed: bool = False
    #: Refuse this share of the requests with 503 `shedding`, 0 to 1.
    shed_share: float = 0.0
    #: Factor by which the service time is multiplied.
    straggle: float = 1.0
    #: Accept requests and never answer them.
    hang: bool = False
    #: Crash while running a request whose body contains this text.
    crash_marker: str = ""
    #: Time from the start of such a request to the crash, in ms.
    crash_after_ms: float = 2.0
    #: Name of an answer fault (see `answers`), or empty for none.
    answer: str = ""
    #: Number of answers to which the fault applies, 0 for all.
    answer_count: int = 0
    #: Kinds of requests to which the answer fault applies.
    answer_kinds: tuple[str, ...] = ("search", "action")
    #: Reported load (0 to 1 and above) instead of the actual one.
    report_load: float | None = None
    #: Reported state instead of the actual one.
    report_state: str | None = None
    #: Age of the reported load and state, in ms.
    report_lag_ms: float = 0.0
    #: Accept work while leaving instead of refusing it with 503 `draining`.
    leaving_accepts: bool = False
    #: Answer `POST /cancel` without cancelling the work.
    ignore_cancel: bool = False
