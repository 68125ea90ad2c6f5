"""Entry point of a router on the platform: ``python -m fighinge.platform``."""

from __future__ import annotations

from fighinge.platform.run import main

if __name__ == "__main__":
    main()
