"""`rattanrelay service`: takes a service out of operation and back."""

from ..service_state import add_state_commands

__all__: list[str] = []

add_state_commands("service")
