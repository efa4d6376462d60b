"""The commands `out` and `in`, shared by all kinds of rows that have a state."""

from urllib.parse import quote, urlencode

from .options import Edit, edit_command
from .show import print_capacity

__all__ = ["add_state_commands", "change_state"]


def add_state_commands(word: str) -> None:
    """Register `<word> out` and `<word> in`."""

    @edit_command(word, "out")
    def take_out(edit: Edit, name: str, *, dry_run: bool = False) -> None:
        """Take a row out of service: it receives no new work.

        :param name: name of the row
        :param dry_run: only print the capacity that would remain
        """
        if dry_run:
            path = f"/v1/capacity/{word}s/{quote(name, safe='')}"
            print_capacity(edit.client.call("GET", path).json())
            return
        change_state(edit, word, name, "out")

    @edit_command(word, "in")
    def bring_back(edit: Edit, name: str) -> None:
        """Return a row to service; its servers start cold.

        :param name: name of the row
        """
        change_state(edit, word, name, "in")


def change_state(edit: Edit, word: str, name: str, state: str) -> None:
    """Set the state of a row and print the edit."""
    path = f"/v1/{word}s/{quote(name, safe='')}/{state}?{urlencode({'note': edit.note})}"
    edit.print_result(edit.client.call("POST", path).json())
