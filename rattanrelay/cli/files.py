"""Reading of the input files of commands."""

from pathlib import Path

from ..errors import RelayError

__all__ = ["read_text"]


def read_text(file: str) -> str:
    """Return the text of a UTF-8 file with its line endings unchanged; raises `bad_arguments`."""
    try:
        return Path(file).read_bytes().decode("utf-8")
    except OSError as error:
        text = f"{file}: {error.strerror}"
    except UnicodeDecodeError as error:
        text = f"{file}: the file is not UTF-8: byte {error.start}"
    raise RelayError("bad_arguments", text, step="read file")
