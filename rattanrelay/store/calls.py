"""HTTP calls to a store with timeouts, a pool of idle connections and a count by kind of call."""

from collections import Counter

import trio

from ..errors import RelayError
from ..http import HttpConnection, Request, Response

__all__ = ["NoResponse", "StoreCalls"]

MAX_IDLE_CONNECTIONS = 4


class NoResponse(RelayError):
    """Raised when no response arrives: the connection may have failed rather than the store."""


class StoreCalls:
    """Pooled connections to one store; `calls` counts the calls by kind, as the store does."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.calls: Counter[str] = Counter()
        #: Whether the call that ended last raised `store_unavailable`.
        self.failing = False
        self._idle: list[HttpConnection] = []

    @property
    def peer(self) -> str:
        """Address of the store as `host:port`."""
        return f"{self.host}:{self.port}"

    async def call(self, kind: str, request: Request, timeout: float) -> Response:
        """Send a request and return the store's response; `timeout` is in seconds.

        Raises `store_unavailable` for a response with status 429 or 5xx, and `NoResponse` if there
        is none in time. The error has `ran="unknown"` if a write may have taken effect.
        """
        self.calls[kind] += 1
        ran = "unknown" if kind == "write" else "not_run"
        try:
            with trio.fail_after(timeout):
                response = await self._exchange(request)
        except trio.TooSlowError:
            # The other connections may have gone silent at the same time.
            while self._idle:
                self._idle.pop().close_now()
            text = f"no response within {timeout} s"
            raise self._unavailable(kind, text, ran, NoResponse) from None
        except RelayError as error:
            ran = error.ran if ran == "unknown" else ran
            raise self._unavailable(kind, str(error), ran, NoResponse) from error
        if response.status >= 500 or response.status == 429:
            raise self._unavailable(kind, f"status {response.status}", ran)
        self.failing = False
        return response

    async def _exchange(self, request: Request) -> Response:
        connection = self._reusable_connection() or await HttpConnection.open(self.host, self.port)
        try:
            response = await connection.request(request)
        except BaseException:
            await connection.aclose()
            raise
        if connection.usable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            await connection.aclose()
        return response

    def _reusable_connection(self) -> HttpConnection | None:
        """Return an idle connection that is still open, or None; close the others."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.stale():
                return connection
            connection.close_now()
        return None

    def _unavailable(
        self, kind: str, text: str, ran: str, error: type[RelayError] = RelayError
    ) -> RelayError:
        self.failing = True
        return error("store_unavailable", text, step=f"store {kind}", peer=self.peer, ran=ran)
