"""Command `python -m rattanrelay.emulator CONFIG`, which runs an emulator process."""

import signal
import sys

import trio

from ..errors import RelayError
from ..log import start_logging
from .config import EmulatorConfig, load_config
from .run import run_emulator

__all__ = ["main"]

USAGE_STATUS = 2


def main(arguments: list[str]) -> int:
    """Run until SIGTERM or SIGINT and return the exit status."""
    if len(arguments) != 1:
        print("usage: python -m rattanrelay.emulator CONFIG", file=sys.stderr)
        return USAGE_STATUS
    try:
        config = load_config(arguments[0])
    except RelayError as error:
        print(error, file=sys.stderr)
        return USAGE_STATUS
    start_logging(process="emulator")
    trio.run(_run_until_signal, config)
    return 0


async def _run_until_signal(config: EmulatorConfig) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_emulator, config)
            await anext(signals)
            nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
