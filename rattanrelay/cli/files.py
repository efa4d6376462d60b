"""Reading of the input files of commands."""

from pathlib import Path

from ..errors import RelayError

__all__ = ["read_bytes", "read_text"]


def read_bytes(file: str) -> bytes:
    """Return the bytes of a file; raises `bad_arguments`."""
    try:
        return Path(file).read_bytes()
    except OSError as error:
        raise RelayError("bad_arguments", f"{file}: {error.strerror}", step="read file") from None


def read_text(file: str) -> str:
    """Return the text of a UTF-8 file with its line endings unchanged; raises `bad_arguments`."""
    try:
        return read_bytes(file).decode("utf-8")
    except UnicodeDecodeError as error:
        text = f"{file}: the file is not UTF-8: byte {error.start}"
        raise RelayError("bad_arguments", text, step="read file") from None
