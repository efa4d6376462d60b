"""`rattanrelay server`: takes a backend server out of service and back."""

from ..service_state import add_state_commands

__all__: list[str] = []

add_state_commands("server")
