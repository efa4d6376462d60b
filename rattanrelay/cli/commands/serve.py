"""`rattanrelay serve`: runs one daemon until a signal."""

import signal

import trio

from ...log import event, start_logging
from ...node.daemon import Daemon
from ...settings import Settings, load_settings
from ..registry import command

__all__ = ["serve"]


@command("serve")
def serve(*, settings: str) -> None:
    """Run one daemon. SIGTERM or SIGINT stops it gracefully, a second signal at once.

    :param settings: TOML file with the settings of the daemon
    """
    loaded = load_settings(settings)
    start_logging(loaded.log_file, instance=loaded.instance)
    trio.run(_run, loaded)


async def _run(settings: Settings) -> None:
    daemon = Daemon(settings)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_follow_signals, signals, daemon, nursery.cancel_scope)
            await daemon.run()
            nursery.cancel_scope.cancel()


async def _follow_signals(signals, daemon: Daemon, scope: trio.CancelScope) -> None:
    event("daemon.signal", signal=signal.Signals(await anext(signals)).name)
    daemon.stop()
    event("daemon.signal", signal=signal.Signals(await anext(signals)).name)
    scope.cancel()
