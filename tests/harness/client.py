"""Small synchronous clients of the caller, administration and control interfaces."""

import http.client
import json
from typing import NamedTuple

import uuid6

__all__ = ["ActionKey", "AdminClient", "CallerClient", "ControlClient", "Reply", "http_call"]

CALL_TIMEOUT_S = 30.0


class Reply(NamedTuple):
    """An HTTP response; header names are lower-case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Decode the body."""
        return json.loads(self.body)


def http_call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = CALL_TIMEOUT_S,
) -> Reply:
    """Make one call on a new connection to `host:port`; raise `OSError` if the connection fails."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        found = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, found, response.read())
    except http.client.HTTPException as error:
        raise ConnectionError(f"{address}: {error!r}") from error
    finally:
        connection.close()


class ActionKey:
    """Makes keys of non-idempotent requests."""

    @staticmethod
    def new() -> str:
        """Return a version 7 UUID with the current time."""
        return str(uuid6.uuid7())


class CallerClient:
    """Client of the caller API of one instance or of a balancer."""

    def __init__(self, address: str, tenant: str = "tenant-1") -> None:
        self.address = address
        self.tenant = tenant

    def ready(self) -> bool:
        """Return whether the instance reports that it is ready."""
        return http_call(self.address, "GET", "/readyz").status == 200

    def query(
        self,
        service: str,
        filter: dict | None = None,
        limit: int = 10,
        *,
        timeout_ms: int = 1000,
        request_id: str = "",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Run a query."""
        body = {"filter": filter or {}, "limit": limit}
        return self._post(f"/v1/services/{service}/query", body, timeout_ms, request_id, headers)

    def act(
        self,
        service: str,
        route: str,
        action: dict,
        key: str,
        *,
        timeout_ms: int = 1000,
        request_id: str = "",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Run a non-idempotent request."""
        body = {"route": route, "action": action}
        own = {"Idempotency-Key": key, **(headers or {})}
        return self._post(f"/v1/services/{service}/actions", body, timeout_ms, request_id, own)

    def _post(self, path: str, body: dict, timeout_ms: int, request_id: str, headers) -> Reply:
        merged = {
            "Content-Type": "application/json",
            "X-Tenant": self.tenant,
            "X-Timeout-Ms": str(timeout_ms),
            **({"X-Request-Id": request_id} if request_id else {}),
            **(headers or {}),
        }
        return http_call(self.address, "POST", path, json.dumps(body).encode(), merged)


class AdminClient:
    """Client of the administration API of one instance, with a token."""

    def __init__(self, address: str, token: str = "") -> None:
        self.address = address
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}

    def call(
        self, method: str, path: str, body=None, headers: dict[str, str] | None = None
    ) -> Reply:
        """Make a call; a body is sent as JSON."""
        data = b"" if body is None else json.dumps(body).encode()
        merged = {"Content-Type": "application/json", **self.headers, **(headers or {})}
        return http_call(self.address, method, path, data, merged)


class ControlClient:
    """Client of an emulator's control listener; raises `ValueError` unless the status is 200."""

    def __init__(self, address: str) -> None:
        self.address = address

    def get(self, path: str):
        """Return the result of a `GET` on `/control/{path}`."""
        return self._result(http_call(self.address, "GET", f"/control/{path}"))

    def post(self, path: str, **body):
        """Return the result of a `POST` on `/control/{path}`."""
        data = json.dumps(body).encode()
        return self._result(http_call(self.address, "POST", f"/control/{path}", data))

    def searchers(self) -> dict:
        """Return the state and journal summary of each searcher by name."""
        return self.get("searchers")

    def journals(self, since: float = 0.0, **select) -> dict:
        """Return journals by searcher; `select` has the fields of `emulator.backend.Selection`."""
        return self.post("searchers/journal", select=select, since=since)

    def set_faults(self, select: dict | None = None, **faults) -> list[str]:
        """Change the faults of the selected searchers."""
        return self.post("searchers/faults", select=select or {}, set=faults)

    def set_store_faults(self, **faults) -> dict:
        """Replace the store's faults."""
        return self.post("store/faults", set=faults, reset=True)

    def set_proxy_faults(self, *routes: str, source: str = "", **faults) -> list[str]:
        """Replace the faults of the named proxy routes, by default of all."""
        return self.post(
            "proxies/faults", routes=list(routes), source=source, set=faults, reset=True
        )

    @staticmethod
    def _result(reply: Reply):
        if reply.status != 200:
            raise ValueError(f"control answered {reply.status}: {reply.body.decode()}")
        return reply.json()
