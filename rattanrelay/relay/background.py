"""Tasks of single requests, connections and messages, whose failure does not end the process."""

import collections
from collections.abc import Awaitable, Callable

import trio

from ..log import event, traceback

__all__ = ["Background"]

#: Pause in seconds before a repeated task that failed runs again.
REPEAT_PAUSE_S = 1.0


class Background:
    """Runs tasks in a nursery; one that fails is logged and counted, and the others go on.

    Tasks without which an instance cannot serve belong into the nursery itself.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        #: Number of tasks that failed, by the qualified name of their function.
        self.failed: collections.Counter[str] = collections.Counter()

    def start_soon(self, function: Callable[..., Awaitable[object]], *args) -> None:
        """Run an async function as a task."""
        self.nursery.start_soon(self._run, function, args)

    def repeat(self, function: Callable[[], Awaitable[object]]) -> None:
        """Run an endless async function as a task, and again if it fails."""
        self.nursery.start_soon(self._run_again, function)

    async def _run(self, function: Callable[..., Awaitable[object]], args: tuple) -> bool:
        """Run a function and return whether it succeeded."""
        try:
            await function(*args)
        except Exception as error:
            task = _name(function)
            self.failed[task] += 1
            event("task.failed", task=task, reason=traceback(error))
            return False
        return True

    async def _run_again(self, function: Callable[[], Awaitable[object]]) -> None:
        while not await self._run(function, ()):  # noqa: ASYNC110
            await trio.sleep(REPEAT_PAUSE_S)


def _name(function: Callable[..., object]) -> str:
    function = getattr(function, "func", function)
    return getattr(function, "__qualname__", type(function).__name__)
