"""`rattanrelay instance`: takes an instance out and back, or confirms that it has stopped."""

from urllib.parse import quote

from ..client import AdminClient
from ..options import admin_command
from ..service_state import add_state_commands

__all__ = ["confirm_stopped"]

add_state_commands("instance")


@admin_command("instance", "confirm-stopped")
def confirm_stopped(client: AdminClient, name: str) -> None:
    """Confirm that all processes of an instance have stopped, so that its servers are taken over.

    A process that still runs could send work to a server concurrently with its new owner.

    :param name: name of the instance
    """
    path = f"/v1/instances/{quote(name, safe='')}/confirm-stopped"
    epoch = client.call("POST", path).json()["epoch"]
    print(f"instance {name} is confirmed as stopped (epoch {epoch})")
