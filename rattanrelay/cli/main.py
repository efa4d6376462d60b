"""Parsing of the command line, and mapping of errors to exit codes."""

import contextlib
import io
import sys
from collections.abc import Callable

import defopt

from ..errors import RelayError
from .registry import command_tree, group_names

__all__ = [
    "EXIT_DRAIN_INCOMPLETE",
    "EXIT_INPUT",
    "EXIT_INTERRUPTED",
    "EXIT_OK",
    "EXIT_REFUSED",
    "main",
]

EXIT_OK = 0
#: The server refused the request, or the network failed.
EXIT_REFUSED = 1
#: Bad arguments, settings or input files.
EXIT_INPUT = 2
#: A daemon stopped before all phases of its drain had finished.
EXIT_DRAIN_INCOMPLETE = 3
EXIT_INTERRUPTED = 130


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code; errors are printed to stderr as one line."""
    argv = sys.argv[1:] if argv is None else argv
    try:
        call = _parse(argv)
        return call() or EXIT_OK
    except RelayError as error:
        return _report(error)
    except BaseExceptionGroup as group:
        return _report_group(group)
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        sys.stderr.close()
        return EXIT_REFUSED
    except Exception as error:
        return _report(_internal_error(error))


def _parse(argv: list[str]) -> Callable[[], int | None]:
    """Return the command bound to its arguments; `--help` exits through `SystemExit`."""
    names = group_names()
    groups = [argv[0]] if argv and argv[0] in names else names
    errors = io.StringIO()
    try:
        with contextlib.redirect_stderr(errors):
            return defopt.bind(
                command_tree(groups),
                argv=argv,
                short={},
                no_negated_flags=True,
                version=False,
                argparse_kwargs={"prog": "rattanrelay"},
            )
    except SystemExit as stop:
        if not stop.code:
            raise
        text = errors.getvalue().strip().splitlines()[-1].partition(": error: ")
        words = text[0].removeprefix("rattanrelay").strip() or "rattanrelay"
        raise RelayError("bad_arguments", f"{words}: {text[2]}") from None


def _report(error: RelayError) -> int:
    """Print an error as one line and return its exit code."""
    print(" ".join(str(error).split()), file=sys.stderr)
    raised_locally = not error.peer
    return EXIT_INPUT if raised_locally and error.status == 400 else EXIT_REFUSED


def _report_group(group: BaseExceptionGroup) -> int:
    """Report the first `RelayError` of a group, else its first error; an interrupt has priority."""
    leaves = list(_flatten(group))
    if any(isinstance(leaf, KeyboardInterrupt) for leaf in leaves):
        return EXIT_INTERRUPTED
    for leaf in leaves:
        if isinstance(leaf, RelayError):
            return _report(leaf)
    return _report(_internal_error(leaves[0]))


def _flatten(group: BaseExceptionGroup):
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flatten(error)
        else:
            yield error


def _internal_error(error: BaseException) -> RelayError:
    return RelayError("internal", f"{type(error).__name__}: {error}")
