"""Asks processes what they believe and finds where their views differ."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from tornado.httpclient import HTTPRequest

from fighinge.curl import TransferFailure, create_client, fetch_once
from fighinge.errors import ErrorKind, Failure
from fighinge.status import ProcessView

if TYPE_CHECKING:
    from collections.abc import Iterable

ASK_TIMEOUT_S = 2.0
MAX_CONCURRENT_CALLS = 50


class Views(msgspec.Struct):
    """The views of the processes that answered, and why others did not, by their URLs."""

    answered: dict[str, ProcessView]
    silent: dict[str, str]


async def ask_views(urls: Iterable[str]) -> Views:
    """Ask processes for their views, many at once."""
    client = create_client(MAX_CONCURRENT_CALLS)
    urls = list(urls)
    try:
        results = await asyncio.gather(*(_ask(client, url) for url in urls))
    finally:
        client.close()
    views = Views({}, {})
    for url, result in zip(urls, results, strict=True):
        if isinstance(result, Failure):
            views.silent[url] = result.reason
        else:
            views.answered[url] = result
    return views


def differences(views: Iterable[ProcessView]) -> list[str]:
    """Return a line on each matter that processes believe differently."""
    views = list(views)
    lines = []
    versions = _by_belief(
        (f"{view.configuration_version} ({view.configuration_digest[:8]})", view.name)
        for view in views
    )
    lines += _differing("configuration version", versions)
    zones = sorted({zone for view in views for zone in view.zones})
    for zone in zones:
        beliefs = _by_belief((_zone_belief(view, zone), view.name) for view in views)
        lines += _differing(f"zone {zone}", beliefs)
    members = sorted({member.name for view in views for member in view.members})
    for name in members:
        beliefs = _by_belief((_member_belief(view, name), view.name) for view in views)
        lines += _differing(f"member {name}", beliefs)
    owners = _by_belief((group, view.name) for view in views for group in view.groups_owned)
    lines += [
        f"group {group} is owned by each of {', '.join(names)}"
        for group, names in owners.items()
        if len(names) > 1
    ]
    for mark in sorted({mark for view in views for mark in view.quarantined}):
        beliefs = _by_belief((str(mark in view.quarantined), view.name) for view in views)
        lines += _differing(f"quarantine of {mark}", beliefs)
    return lines


async def _ask(client, url: str) -> ProcessView | Failure:
    request = HTTPRequest(
        f"{url}/v1/status", connect_timeout=ASK_TIMEOUT_S, request_timeout=ASK_TIMEOUT_S
    )
    response = await fetch_once(client, request)
    if isinstance(response, TransferFailure):
        return Failure(ErrorKind.NOT_READY, response.reason)
    try:
        return msgspec.json.decode(response.body, type=ProcessView)
    except msgspec.DecodeError as error:
        return Failure(ErrorKind.INTERNAL, f"status {response.code}: {error}")


def _by_belief(pairs: Iterable[tuple[str, str]]) -> dict[str, list[str]]:
    names: dict[str, list[str]] = {}
    for belief, name in pairs:
        names.setdefault(belief, []).append(name)
    return names


def _differing(matter: str, beliefs: dict[str, list[str]]) -> list[str]:
    if len(beliefs) <= 1:
        return []
    parts = [f"{belief} at {', '.join(names)}" for belief, names in beliefs.items()]
    return [f"{matter}: {'; '.join(parts)}"]


def _zone_belief(view: ProcessView, zone: str) -> str:
    seen = view.zones.get(zone)
    if seen is None:
        return "unknown"
    return f"in service, share {seen.share:.2f}" if seen.in_service else "out of service"


def _member_belief(view: ProcessView, name: str) -> str:
    for member in view.members:
        if member.name == name:
            return f"{member.state}{' leaving' if member.leaving else ''}"
    return "alive" if view.name == name else "unknown"
