"""Start of a router on the platform: ``python -S fighinge/platform/start.py``.

SIGHUP ends a process that neither ignores nor handles it, and the platform may send it at any time.
Without the ``site`` module (``-S``) and the search for a module by its name, the interpreter runs
the first statement of this file after a fifth of the time.
"""

import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

# ruff: noqa: E402
import os
import site
import sys


def run() -> None:
    """Run the command, whose modules are loaded only now."""
    sys.path[0] = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    site.main()
    from fighinge.platform.run import main

    main()


if __name__ == "__main__":
    run()
