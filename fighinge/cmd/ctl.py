"""Operators' command: checks patches and shows the configuration."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import defopt
import msgspec

from fighinge.configuration.history import Acceptance, accept, apply_patch
from fighinge.configuration.platform_client import PlatformClient
from fighinge.configuration.watcher import KEY_PREFIX
from fighinge.errors import Failure

EXIT_REFUSED = 1


def show(*, platform: str) -> None:
    """Print the configuration in force and the patches that were refused.

    :param platform: URL of the platform
    """
    acceptance = _acceptance(platform)
    print(f"version {acceptance.accepted.version}")
    print(msgspec.json.format(acceptance.accepted.raw).decode())
    for refused in acceptance.refused:
        print(f"refused {refused.key}: {refused.failure.field} {refused.failure.reason}")


def check(patch_file: Path, *, platform: str) -> None:
    """Tell whether a patch would be accepted.

    :param patch_file: file with the patch as it would be published
    :param platform: URL of the platform
    """
    acceptance = _acceptance(platform)
    result = apply_patch(acceptance.accepted, patch_file.read_bytes())
    if isinstance(result, Failure):
        _exit(result)
    print(f"would be accepted as version {result.version}")


def _acceptance(platform: str) -> Acceptance:
    acceptance = asyncio.run(_read(platform))
    if isinstance(acceptance, Failure):
        _exit(acceptance)
    return acceptance


async def _read(platform: str) -> Acceptance | Failure:
    client = PlatformClient(platform, "ctl")
    try:
        values = await client.read(KEY_PREFIX, 0, 0.0)
    finally:
        client.close()
    if isinstance(values, Failure):
        return values
    return accept(values.values)


def _exit(failure: Failure) -> None:
    print(f"refused: {failure.field} {failure.reason}", file=sys.stderr)
    sys.exit(EXIT_REFUSED)


def main() -> None:
    """Run the command."""
    defopt.run([show, check])


if __name__ == "__main__":
    main()
