"""Routing table of the administration API, and the context of one call."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec

from ..errors import DECODE_ERRORS, RelayError
from ..http import Request, Response
from ..table.columns import KINDS, NAME_ALLOWED, NAME_PATTERN
from .admin_access import Access

__all__ = ["ROUTES", "Call", "Route", "match_route", "methods_of", "route"]

MAX_NOTE_LENGTH = 200


class Call(NamedTuple):
    """One request with the parameters of its path and the permissions of its token."""

    request: Request
    params: dict[str, str]
    access: Access

    @property
    def author(self) -> str:
        """Team of the token, followed by `/` and the person in X-Operator, if any.

        Raises `bad_header` if the name of the person is not allowed.
        """
        person = self.request.headers.get("x-operator", "")
        if not person:
            return self.access.team
        if not NAME_PATTERN.fullmatch(person):
            text = f"X-Operator: value {person!r} is not allowed: {NAME_ALLOWED}"
            raise RelayError("bad_header", text, step="read request")
        return f"{self.access.team}/{person}"

    @property
    def note(self) -> str:
        """Reason for a change from the query string; raises `bad_request` if it is too long."""
        note = self.request.query.get("note", "")
        if len(note) > MAX_NOTE_LENGTH:
            text = f"note has {len(note)} characters, allowed: {MAX_NOTE_LENGTH}"
            raise RelayError("bad_request", text, step="read request")
        return note

    @property
    def kind(self) -> str:
        """Kind of rows in the path; raises `not_found` for an unknown kind."""
        kind = self.params["kind"]
        if kind not in KINDS:
            text = f"kind {kind!r} is not known; allowed: {', '.join(KINDS)}"
            raise RelayError("not_found", text, step="read path")
        return kind

    def flag(self, name: str) -> bool:
        """Return a Boolean parameter of the query string; raises `bad_request`."""
        text = self.request.query.get(name, "false")
        if text not in ("true", "false"):
            raise RelayError(
                "bad_request", f"{name}: value {text!r} is not allowed: true or false", step="read"
            )
        return text == "true"

    def body(self, body_type: type) -> Any:
        """Decode the JSON body as `body_type`; raises `bad_body`."""
        try:
            return msgspec.json.decode(self.request.body, type=body_type)
        except DECODE_ERRORS as error:
            raise RelayError("bad_body", str(error), step="read body") from None


#: Coroutine function that answers one call; its first argument is the `Admin`.
Handler = Callable[[Any, Call], Awaitable[Response]]


class Route(NamedTuple):
    """A method and path with the scope required; with an empty scope, no token is needed."""

    method: str
    path: str
    scope: str
    function: Handler


ROUTES: list[Route] = []


def route(method: str, path: str, scope: str) -> Callable[[Handler], Handler]:
    """Return a decorator that registers a function for a method and path.

    Parameters in the path stand in braces. Raises `ValueError` for a second registration.
    """

    def register(function: Handler) -> Handler:
        if any((other.method, other.path) == (method, path) for other in ROUTES):
            raise ValueError(f"{method} {path} is registered twice")
        ROUTES.append(Route(method, path, scope, function))
        return function

    return register


def match_route(method: str, path: str) -> tuple[Route, dict[str, str]]:
    """Return the route and its parameters; raises `not_found` or `method_not_allowed`.

    If several paths match, the one with the fewest parameters has priority.
    """
    found = []
    for entry in ROUTES:
        params = _params(entry.path, path)
        if params is not None:
            found.append((len(params), entry, params))
    if not found:
        raise RelayError("not_found", f"no path {path}", step="find path")
    fewest = min(item[0] for item in found)
    for count, entry, params in found:
        if count == fewest and entry.method == method:
            return entry, params
    methods = ", ".join(methods_of(path))
    raise RelayError("method_not_allowed", f"{path} allows only {methods}", step="find path")


def methods_of(path: str) -> list[str]:
    """Return the sorted methods that a path allows, for the `Allow` header."""
    return sorted({entry.method for entry in ROUTES if _params(entry.path, path) is not None})


def _params(pattern: str, path: str) -> dict[str, str] | None:
    parts, given = pattern.split("/"), path.split("/")
    if len(parts) != len(given):
        return None
    params = {}
    for part, value in zip(parts, given, strict=True):
        if part.startswith("{") and value:
            params[part.strip("{}")] = value
        elif part != value:
            return None
    return params
