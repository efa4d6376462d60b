"""Structured logs as JSON lines by eliot; a failing sink never breaks its caller."""

import os
import sys
import time
from traceback import format_exception
from typing import IO

import eliot
import msgspec

__all__ = [
    "BoundedSink",
    "LineSink",
    "event",
    "start_logging",
    "start_standard_output",
    "traceback",
]

#: Lines a second that a bounded sink writes over time; a line costs about 30 us.
LINES_PER_S = 100.0
#: Lines that it writes at once after a quiet time.
BURST_LINES = 200.0


class LineSink:
    """Writes each message as one line; errors of the file are counted, not raised."""

    def __init__(self, file: IO[bytes], static: dict[str, str]) -> None:
        self.file = file
        self.static = static
        self.dropped = 0

    def __call__(self, message: dict) -> None:
        try:
            line = msgspec.json.encode({**self.static, **message}, enc_hook=str)
            self.file.write(line + b"\n")
            self.file.flush()
        except (OSError, ValueError, TypeError, msgspec.EncodeError):
            self.dropped += 1


class BoundedSink:
    """Writes lines to a descriptor without blocking, at a bounded rate.

    A line that does not fit is dropped; the next one that fits carries the number of those before
    it as `dropped`.
    """

    def __init__(self, descriptor: int, static: dict[str, str]) -> None:
        self.descriptor = descriptor
        self.static = static
        self.dropped = 0
        self.unreported = 0
        self.tokens = BURST_LINES
        self.filled_at = time.monotonic()
        self.rest = b""

    def __call__(self, message: dict) -> None:
        if not self._take():
            return self._drop()
        if self.unreported:
            message = {**message, "dropped": self.unreported}
        try:
            line = msgspec.json.encode({**self.static, **message}, enc_hook=str) + b"\n"
            data = self.rest + line
            written = os.write(self.descriptor, data)
        except (OSError, ValueError, TypeError, msgspec.EncodeError):
            return self._drop()
        self.rest = data[written:]
        self.unreported = 0

    def _take(self) -> bool:
        now = time.monotonic()
        self.tokens = min(BURST_LINES, self.tokens + (now - self.filled_at) * LINES_PER_S)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _drop(self) -> None:
        self.dropped += 1
        self.unreported += 1


def start_logging(path: str = "", **static: str) -> LineSink:
    """Send messages to `path`, or to standard error when it is empty."""
    file = open(path, "ab", buffering=0) if path else sys.stderr.buffer  # noqa: SIM115
    sink = LineSink(file, static)
    eliot.add_destinations(sink)
    return sink


def start_standard_output(**static: str) -> BoundedSink:
    """Send messages to standard output; a reader that does not keep up loses lines."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    sink = BoundedSink(descriptor, static)
    eliot.add_destinations(sink)
    return sink


def event(name: str, **fields) -> None:
    """Log one event; fields must be JSON values or have a text form."""
    eliot.log_message(message_type=name, **fields)


def traceback(error: BaseException) -> str:
    """Return the text of an unexpected error, for the log."""
    return "".join(format_exception(error))
