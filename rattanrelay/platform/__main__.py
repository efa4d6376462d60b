"""Run one instance on the users' platform: `python -m rattanrelay.platform`."""

import signal
import sys

__all__ = ["main"]


def main() -> int:
    """Run until SIGTERM with the settings file that the platform names; return the exit status."""
    # The imports take some tenths of a second, during which SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .program import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
