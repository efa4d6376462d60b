"""Calls to a store over HTTP, with bounded time, kept connections and a count of each kind."""

from collections import Counter

import trio

from ..errors import RelayError
from ..http import HttpConnection, Request, Response

__all__ = ["StoreCalls"]

MAX_IDLE_CONNECTIONS = 4


class StoreCalls:
    """Connections to one store; `calls` counts the calls by kind, as the store does."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.calls: Counter[str] = Counter()
        #: Whether the last call that ended got no answer.
        self.failing = False
        self._idle: list[HttpConnection] = []

    @property
    def peer(self) -> str:
        """Address of the store as `host:port`."""
        return f"{self.host}:{self.port}"

    async def call(self, kind: str, request: Request, timeout: float) -> Response:
        """Return the store's response; raises `store_unavailable` for none, 429 and 5xx.

        The error says `ran="unknown"` where a write may have taken effect.
        """
        self.calls[kind] += 1
        ran = "unknown" if kind == "write" else "not_run"
        try:
            with trio.fail_after(timeout):
                response = await self._exchange(request)
        except trio.TooSlowError:
            raise self._unavailable(kind, f"no answer in {timeout} s", ran) from None
        except RelayError as error:
            raise self._unavailable(
                kind, str(error), error.ran if ran == "unknown" else ran
            ) from error
        if response.status >= 500 or response.status == 429:
            raise self._unavailable(kind, f"status {response.status}", ran)
        self.failing = False
        return response

    async def _exchange(self, request: Request) -> Response:
        connection = self._kept() or await HttpConnection.open(self.host, self.port)
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

    def _kept(self) -> HttpConnection | None:
        """Return an idle connection that has not ended."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.stale():
                return connection
            connection.close_now()
        return None

    def _unavailable(self, kind: str, text: str, ran: str) -> RelayError:
        self.failing = True
        return RelayError("store_unavailable", text, step=f"store {kind}", peer=self.peer, ran=ran)
