"""JSON interface that controls an emulator process; `control` registers its routes."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

import msgspec

from ..http import Request, Response, json_response

if TYPE_CHECKING:
    from .run import Emulator

__all__ = ["CONTROLS", "control", "decode", "handle_control"]

T = TypeVar("T")

#: Handles a control request and returns a JSON value; raises `ValueError` or `KeyError`.
Control = Callable[["Emulator", Request], Awaitable[object]]

CONTROLS: dict[tuple[str, str], Control] = {}


def control(method: str, path: str) -> Callable[[Control], Control]:
    """Register the handler of a control route."""

    def add(function: Control) -> Control:
        CONTROLS[method, path] = function
        return function

    return add


def decode(request: Request, kind: type[T]) -> T:
    """Decode the body of a control request; an empty body means `{}`."""
    return msgspec.json.decode(request.body or b"{}", type=kind)


async def handle_control(emulator: "Emulator", request: Request) -> Response:
    """Answer a control request with 200 and the result, 400 and the error, or 404."""
    function = CONTROLS.get((request.method, request.path))
    if function is None:
        return json_response(404, {"code": "not_found", "message": request.path})
    try:
        return json_response(200, await function(emulator, request))
    except (ValueError, KeyError, msgspec.MsgspecError) as error:
        return json_response(400, {"code": "bad_request", "message": f"{error}"})
