"""Shared command options, added to the signatures and help texts of commands."""

import functools
import inspect
from collections.abc import Callable
from typing import Any, NamedTuple

from .client import AdminClient, open_admin
from .registry import Command, command
from .show import print_edit

__all__ = ["Edit", "admin_command", "edit_command"]


class Option(NamedTuple):
    """A keyword option whose type is that of its default."""

    name: str
    default: str | bool
    meaning: str


ADMIN_OPTIONS = (
    Option(
        "admin",
        "",
        "host:port of an instance's administration interface, or several separated by commas",
    ),
    Option("token_file", "", "file with the bearer token"),
)
EDIT_OPTIONS = (
    Option("wait", False, "wait until each member is known to have the change"),
    Option("note", "", "reason, for the history"),
)


class Edit(NamedTuple):
    """Client of a command that edits the table, the reason for the edit, and whether to wait."""

    client: AdminClient
    note: str
    wait: bool

    def print_result(self, accepted: dict[str, Any]) -> None:
        """Print an accepted edit; with `wait`, return once it is in force everywhere."""
        print_edit(self.client, accepted, wait=self.wait)


def admin_command(*words: str) -> Callable[[Command], Command]:
    """Register a command whose first parameter is an `AdminClient` built from its options."""
    return _command(words, ADMIN_OPTIONS, open_admin)


def edit_command(*words: str) -> Callable[[Command], Command]:
    """Register a command whose first parameter is an `Edit` built from its options."""

    def connect(wait: bool, note: str, admin: str, token_file: str) -> Edit:
        return Edit(open_admin(admin, token_file), note, wait)

    return _command(words, EDIT_OPTIONS + ADMIN_OPTIONS, connect)


def _command(
    words: tuple[str, ...], options: tuple[Option, ...], connect: Callable[..., Any]
) -> Callable[[Command], Command]:
    """Register a function with its first parameter replaced by options in its signature."""

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
        run.__annotations__ = {
            parameter.name: parameter.annotation for parameter in [*parameters, *added]
        }
        run.__doc__ = inspect.getdoc(function) + "".join(
            f"\n:param {option.name}: {option.meaning}" for option in options
        )
        command(*words)(run)
        return function

    return register
