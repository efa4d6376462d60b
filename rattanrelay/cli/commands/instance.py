"""`rattanrelay instance`: takes an instance out and back, or confirms that it has stopped."""

from urllib.parse import quote

from ..client import open_admin
from ..registry import command
from ..service_state import add_state_commands

__all__ = ["confirm_stopped"]

add_state_commands("instance")


@command("instance", "confirm-stopped")
def confirm_stopped(name: str, *, admin: str = "", token_file: str = "") -> None:
    """State that all processes of an instance have stopped, so that its servers are taken over.

    A process that still runs could send work beside the new owner.

    :param name: name of the instance
    :param admin: host:port of an instance's administration interface, or several with commas
    :param token_file: file with the bearer token
    """
    client = open_admin(admin, token_file)
    path = f"/v1/instances/{quote(name, safe='')}/confirm-stopped"
    epoch = client.call("POST", path).json()["epoch"]
    print(f"instance {name} is confirmed as stopped (epoch {epoch})")
