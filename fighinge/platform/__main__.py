"""Entry point of a router on the platform: ``python -m fighinge.platform``."""

from __future__ import annotations

import signal


def run() -> None:
    """Run the command, which loads its modules only once SIGHUP cannot end the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from fighinge.platform.run import main

    main()


if __name__ == "__main__":
    run()
