"""Structured logs as JSON lines by eliot; a failing sink never breaks its caller."""

import sys
from typing import IO

import eliot
import msgspec

__all__ = ["LineSink", "event", "start_logging"]


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


def start_logging(path: str = "", **static: str) -> LineSink:
    """Send messages to `path`, or to standard error when it is empty."""
    file = open(path, "ab", buffering=0) if path else sys.stderr.buffer  # noqa: SIM115
    sink = LineSink(file, static)
    eliot.add_destinations(sink)
    return sink


def event(name: str, **fields) -> None:
    """Log one event; fields must be JSON values or have a text form."""
    eliot.log_message(message_type=name, **fields)
