"""`rattanrelay serve`: runs one daemon until a signal."""

import signal

import trio

from ...log import event, start_logging
from ...node.daemon import Daemon
from ...settings import Settings, load_settings
from ..main import EXIT_DRAIN_INCOMPLETE, EXIT_OK
from ..registry import command

__all__ = ["serve"]


@command("serve")
def serve(*, settings: str) -> int:
    """Run one daemon. SIGTERM or SIGINT stops it gracefully, a second signal immediately.

    The exit code is 3 if a phase of the graceful stop did not finish; the log names the phase.

    :param settings: TOML file with the settings of the daemon
    """
    loaded = load_settings(settings)
    start_logging(loaded.log_file, instance=loaded.instance)
    drained = trio.run(_run, loaded)
    return EXIT_OK if drained else EXIT_DRAIN_INCOMPLETE


async def _run(settings: Settings) -> bool:
    """Run the daemon; return whether each phase of its planned stop finished."""
    daemon = Daemon(settings)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_handle_signals, signals, daemon, nursery.cancel_scope)
            await daemon.run()
            nursery.cancel_scope.cancel()
    return daemon.drain.complete


async def _handle_signals(signals, daemon: Daemon, scope: trio.CancelScope) -> None:
    event("daemon.signal", signal=signal.Signals(await anext(signals)).name)
    daemon.stop()
    event("daemon.signal", signal=signal.Signals(await anext(signals)).name)
    daemon.cut_short()
    scope.cancel()
