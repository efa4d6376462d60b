"""`rattanrelay emulate`: runs one emulator process until a signal."""

from ...emulator.__main__ import main as emulate_file
from ..registry import command

__all__ = ["emulate"]


@command("emulate")
def emulate(*, config: str) -> int:
    """Run emulated external systems: backend servers, store, instance list, balancer, proxies.

    :param config: TOML or JSON file that lists what to host
    """
    return emulate_file([config])
