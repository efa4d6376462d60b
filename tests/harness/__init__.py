"""Real processes for tests, and synchronous clients of their interfaces."""

from .client import ActionKey, CallerClient, ControlClient, Reply, http_call
from .fleet import Fleet
from .processes import HANG_LIMIT_S, HarnessError, Processes, free_ports, wait_until

__all__ = [
    "HANG_LIMIT_S",
    "ActionKey",
    "CallerClient",
    "ControlClient",
    "Fleet",
    "HarnessError",
    "Processes",
    "Reply",
    "free_ports",
    "http_call",
    "wait_until",
]
