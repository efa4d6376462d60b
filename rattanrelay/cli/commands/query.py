"""`rattanrelay query`: sends one query or non-idempotent request as a caller."""

from typing import Any
from urllib.parse import quote

import msgspec
import trio
import uuid6

from ...errors import RelayError
from ...http import Request
from ..client import CALLERS_VARIABLE, check_response, exchange, load_tls_context, read_addresses
from ..registry import command
from ..show import print_json

__all__ = ["query"]


@command("query")
def query(
    service: str,
    *,
    tenant: str,
    filter: str = "{}",
    limit: int = 10,
    action: str = "",
    route: str = "",
    key: str = "",
    timeout_ms: int = 0,
    json: bool = False,
    callers: str = "",
    ca_file: str = "",
) -> None:
    """Send one query, or a non-idempotent request with --action, and print the answer.

    :param service: name of the service
    :param tenant: tenant on whose behalf the request is sent
    :param filter: filter of the query as JSON
    :param limit: maximum number of hits
    :param action: non-idempotent request as JSON; it is sent instead of a query
    :param route: routing value of the non-idempotent request, which selects its shard
    :param key: Idempotency-Key; if it is not given, a new one is generated and printed
    :param timeout_ms: time limit in ms; the service's row decides if it is not given
    :param json: print JSON
    :param callers: host:port of an instance's caller interface, default RATTANRELAY_CALLERS
    :param ca_file: PEM file with the certificates that sign those of the caller listeners; TLS is
        used if it is given
    """
    address = read_addresses("--callers", callers, CALLERS_VARIABLE)[0]
    tls = load_tls_context(ca_file)
    headers = {"x-tenant": tenant, "content-type": "application/json"}
    if timeout_ms:
        headers["x-timeout-ms"] = str(timeout_ms)
    path = f"/v1/services/{quote(service, safe='')}/"
    if action:
        headers["idempotency-key"] = key or str(uuid6.uuid7())
        if not json:
            print(f"key {headers['idempotency-key']}")
        body = {"route": route, "action": _parse_object("--action", action)}
        path += "actions"
    else:
        body = {"filter": _parse_object("--filter", filter), "limit": limit}
        path += "query"
    request = Request("POST", path, headers, msgspec.json.encode(body))
    answer = check_response(address, trio.run(exchange, address, request, tls)).json()
    if json:
        print_json(answer)
    else:
        _print_answer(answer)


def _parse_object(option: str, text: str) -> dict[str, Any]:
    try:
        return msgspec.json.decode(text, type=dict[str, Any])
    except msgspec.DecodeError as error:
        message = f"{option}: value {text!r} is not allowed: a JSON object ({error})"
        raise RelayError("bad_arguments", message, step="read arguments") from None


def _print_answer(answer: dict[str, Any]) -> None:
    print(f"request {answer['request_id']}: {answer['outcome']}")
    if "coverage" not in answer:
        print(msgspec.json.encode(answer.get("result")).decode())
        return
    coverage = answer["coverage"]
    print(f"snapshot {answer['snapshot']}")
    print(f"shards {coverage['answered']} of {coverage['shards']}")
    for item in coverage["missing"]:
        print(f"  missing {item['shard']}: {item['reason']}")
    print(f"{answer['count']} matches, {len(answer['hits'])} shown")
    for number, hit in enumerate(answer["hits"], start=1):
        print(f"{number:3} {msgspec.json.encode(hit).decode()}")
