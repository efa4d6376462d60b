"""Options that several commands share, added to their signatures and help texts."""

import functools
import inspect
from collections.abc import Callable
from typing import Any, NamedTuple

from .client import AdminClient, open_admin
from .registry import Command, command
from .show import print_edit

__all__ = ["Edit", "admin_command", "edit_command"]


class Option(NamedTuple):
    """A keyword option; its default gives its type."""

    name: str
    default: str | bool
    meaning: str


ADMIN_OPTIONS = (
    Option(
        "admin",
        "",
        "host:port of an instance's administration interface, or several with commas",
    ),
    Option("token_file", "", "file with the bearer token"),
)
EDIT_OPTIONS = (
    Option("wait", False, "return when each member is known to have the change"),
    Option("note", "", "reason, for the history"),
)


class Edit(NamedTuple):
    """How a command edits the table: its client, the reason, and whether it waits."""

    client: AdminClient
    note: str
    wait: bool

    def finish(self, accepted: dict[str, Any]) -> None:
        """Print an accepted edit, and wait until it is in force if that was asked for."""
        print_edit(self.client, accepted, wait=self.wait)


def admin_command(*words: str) -> Callable[[Command], Command]:
    """Register a command whose first parameter is an `AdminClient` from its options."""
    return _command(words, ADMIN_OPTIONS, open_admin)


def edit_command(*words: str) -> Callable[[Command], Command]:
    """Register a command whose first parameter is an `Edit` from its options."""

    def connect(wait: bool, note: str, admin: str, token_file: str) -> Edit:
        return Edit(open_admin(admin, token_file), note, wait)

    return _command(words, EDIT_OPTIONS + ADMIN_OPTIONS, connect)


def _command(
    words: tuple[str, ...], options: tuple[Option, ...], connect: Callable[..., Any]
) -> Callable[[Command], Command]:
    """Register a function under a signature with options in place of its first parameter."""

    def register(function: Command) -> Command:
        @functools.wraps(function)
        def run(*args, **kwargs):
            given = {option.name: kwargs.pop(option.name, option.default) for option in options}
            return function(connect(**given), *args, **kwargs)

        _, *parameters = inspect.signature(function).parameters.values()
        added = [
            inspect.Parameter(
                option.name,
                inspect.Parameter.KEYWORD_ONLY,
                default=option.default,
                annotation=type(option.default),
            )
            for option in options
        ]
        run.__signature__ = inspect.Signature([*parameters, *added])
        run.__annotations__ = {one.name: one.annotation for one in [*parameters, *added]}
        run.__doc__ = inspect.getdoc(function) + "".join(
            f"\n:param {option.name}: {option.meaning}" for option in options
        )
        command(*words)(run)
        return function

    return register
