"""Structured logs as JSON lines, written with eliot; errors of a sink are not raised."""

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

#: Rate of the token bucket of a bounded sink; a line costs about 30 us.
LINES_PER_S = 100.0
#: Capacity of the token bucket of a bounded sink.
BURST_LINES = 200.0


class LineSink:
    """Writes each message as one line to a file; lines that fail are counted in `dropped`."""

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
    """Writes lines to a non-blocking file descriptor at a limited rate.

    A line over the rate, or one that the descriptor does not accept, is discarded; the next line
    that is written contains the number of discarded lines in its field `dropped`.
    """

    def __init__(self, descriptor: int, static: dict[str, str]) -> None:
        self.descriptor = descriptor
        self.static = static
        self.dropped = 0
        self.unreported = 0
        self.tokens = BURST_LINES
        self.refilled_at = time.monotonic()
        self.rest = b""

    def __call__(self, message: dict) -> None:
        if not self._take_token():
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

    def _take_token(self) -> bool:
        now = time.monotonic()
        self.tokens = min(BURST_LINES, self.tokens + (now - self.refilled_at) * LINES_PER_S)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _drop(self) -> None:
        self.dropped += 1
        self.unreported += 1


def start_logging(path: str = "", **static: str) -> LineSink:
    """Append messages to the file `path`, or write them to standard error if it is empty."""
    file = open(path, "ab", buffering=0) if path else sys.stderr.buffer  # noqa: SIM115
    sink = LineSink(file, static)
    eliot.add_destinations(sink)
    return sink


def start_standard_output(**static: str) -> BoundedSink:
    """Write messages to standard output; a slow reader loses lines."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    sink = BoundedSink(descriptor, static)
    eliot.add_destinations(sink)
    return sink


def event(name: str, **fields) -> None:
    """Log an event; a field that has no JSON form is written as its `str`."""
    eliot.log_message(message_type=name, **fields)


def traceback(error: BaseException) -> str:
    """Return the formatted traceback of an unexpected error."""
    return "".join(format_exception(error))
