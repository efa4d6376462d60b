"""The commands `out` and `in`, which are the same for each kind of row that has a state."""

from urllib.parse import quote, urlencode

from .client import open_admin
from .registry import command
from .show import print_capacity, print_edit

__all__ = ["add_state_commands", "change_state"]


def add_state_commands(word: str) -> None:
    """Register `<word> out` and `<word> in`."""

    @command(word, "out")
    def take_out(
        name: str,
        *,
        dry_run: bool = False,
        wait: bool = False,
        note: str = "",
        admin: str = "",
        token_file: str = "",
    ) -> None:
        """Take a row out of service: it receives no new work.

        :param name: name of the row
        :param dry_run: only print what would remain
        :param wait: return when each member is known to have the change
        :param note: reason, for the history
        :param admin: host:port of an instance's administration interface, or several with commas
        :param token_file: file with the bearer token
        """
        if dry_run:
            client = open_admin(admin, token_file)
            path = f"/v1/capacity/{word}s/{quote(name, safe='')}"
            print_capacity(client.call("GET", path).json())
            return
        change_state(word, name, "out", wait, note, admin, token_file)

    @command(word, "in")
    def bring_back(
        name: str,
        *,
        wait: bool = False,
        note: str = "",
        admin: str = "",
        token_file: str = "",
    ) -> None:
        """Return a row to service; its servers start as cold.

        :param name: name of the row
        :param wait: return when each member is known to have the change
        :param note: reason, for the history
        :param admin: host:port of an instance's administration interface, or several with commas
        :param token_file: file with the bearer token
        """
        change_state(word, name, "in", wait, note, admin, token_file)


def change_state(
    word: str, name: str, state: str, wait: bool, note: str, admin: str, token_file: str
) -> None:
    """Set the state of a row and print the result."""
    client = open_admin(admin, token_file)
    path = f"/v1/{word}s/{quote(name, safe='')}/{state}?{urlencode({'note': note})}"
    print_edit(client, client.call("POST", path).json(), wait=wait)
