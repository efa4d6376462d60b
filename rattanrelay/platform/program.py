"""Main program of an instance on the users' platform: settings, signals and tasks."""

import random
import signal
import sys

import trio

from ..errors import RelayError
from ..log import start_standard_output
from ..relay import BootClock, Instance, RelayDaemon, RelaySettings
from .documents import HEADERS
from .feed import PlatformFeed
from .settings import load, settings_path

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Run until SIGTERM with the settings file that the platform names; return the exit status."""
    try:
        path = settings_path()
        settings = load(path)
    except RelayError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    trio.run(_run, settings, path, clock=BootClock())
    return 0


async def _run(settings: RelaySettings, path) -> None:
    rng = random.Random()
    sink = start_standard_output(instance=settings.instance)
    instance = Instance(settings.instance, *settings.peers, settings.domain, settings.cores)
    feed = PlatformFeed(settings.store, instance, rng, first_start=settings.first_start)
    seen = path.stat().st_mtime_ns

    def changed() -> bool:
        nonlocal seen
        try:
            now = path.stat().st_mtime_ns
        except OSError:
            return False
        before, seen = seen, now
        return now != before

    daemon = RelayDaemon(
        settings, HEADERS, feed, reload=lambda: load(path), changed=changed, sink=sink, rng=rng
    )
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_follow_signals, signals, daemon)
            await daemon.run()
            nursery.cancel_scope.cancel()


async def _follow_signals(signals, daemon: RelayDaemon) -> None:
    async for number in signals:
        name = signal.Signals(number).name
        if number == signal.SIGHUP:
            daemon.reload_settings(name)
        else:
            daemon.stop(name)
