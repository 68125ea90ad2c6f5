"""Retrieval of the status of many processes, and comparison of what they report."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from tornado.httpclient import HTTPRequest

from fighinge.curl import TransferFailure, create_client, fetch_once
from fighinge.errors import ErrorKind, Failure
from fighinge.status import ProcessStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

REQUEST_TIMEOUT_S = 2.0
MAX_CONCURRENT_CALLS = 50


class StatusReplies(msgspec.Struct):
    """The status of each process that answered, and the failure of each other one, by URL."""

    statuses: dict[str, ProcessStatus]
    unanswered: dict[str, str]


async def fetch_statuses(urls: Iterable[str]) -> StatusReplies:
    """Fetch the status of several processes concurrently."""
    client = create_client(MAX_CONCURRENT_CALLS)
    urls = list(urls)
    try:
        results = await asyncio.gather(*(_fetch_status(client, url) for url in urls))
    finally:
        client.close()
    replies = StatusReplies({}, {})
    for url, result in zip(urls, results, strict=True):
        if isinstance(result, Failure):
            replies.unanswered[url] = result.reason
        else:
            replies.statuses[url] = result
    return replies


def differences(statuses: Iterable[ProcessStatus]) -> list[str]:
    """Return a line for each item on which the processes report different values."""
    statuses = list(statuses)
    lines = []
    versions = _names_by_value(
        (f"{status.configuration_version} ({status.configuration_digest[:8]})", status.name)
        for status in statuses
    )
    lines += _difference_lines("configuration version", versions)
    zones = sorted({zone for status in statuses for zone in status.zones})
    for zone in zones:
        values = _names_by_value((_zone_state(status, zone), status.name) for status in statuses)
        lines += _difference_lines(f"zone {zone}", values)
    members = sorted({member.name for status in statuses for member in status.members})
    for name in members:
        values = _names_by_value((_member_state(status, name), status.name) for status in statuses)
        lines += _difference_lines(f"member {name}", values)
    owners = _names_by_value(
        (group, status.name) for status in statuses for group in status.groups_owned
    )
    lines += [
        f"group {group} is owned by each of {', '.join(names)}"
        for group, names in owners.items()
        if len(names) > 1
    ]
    for fingerprint in sorted(
        {fingerprint for status in statuses for fingerprint in status.quarantined}
    ):
        values = _names_by_value(
            (str(fingerprint in status.quarantined), status.name) for status in statuses
        )
        lines += _difference_lines(f"quarantine of {fingerprint}", values)
    return lines


async def _fetch_status(client, url: str) -> ProcessStatus | Failure:
    request = HTTPRequest(
        f"{url}/v1/status", connect_timeout=REQUEST_TIMEOUT_S, request_timeout=REQUEST_TIMEOUT_S
    )
    response = await fetch_once(client, request)
    if isinstance(response, TransferFailure):
        return Failure(ErrorKind.NOT_READY, response.reason)
    try:
        return msgspec.json.decode(response.body, type=ProcessStatus)
    except msgspec.DecodeError as error:
        return Failure(ErrorKind.INTERNAL, f"status {response.code}: {error}")


def _names_by_value(pairs: Iterable[tuple[str, str]]) -> dict[str, list[str]]:
    names: dict[str, list[str]] = {}
    for value, name in pairs:
        names.setdefault(value, []).append(name)
    return names


def _difference_lines(subject: str, values: dict[str, list[str]]) -> list[str]:
    if len(values) <= 1:
        return []
    values_with_names = [f"{value} at {', '.join(names)}" for value, names in values.items()]
    return [f"{subject}: {'; '.join(values_with_names)}"]


def _zone_state(status: ProcessStatus, zone: str) -> str:
    zone_status = status.zones.get(zone)
    if zone_status is None:
        return "unknown"
    return (
        f"in service, share {zone_status.share:.2f}" if zone_status.in_service else "out of service"
    )


def _member_state(status: ProcessStatus, name: str) -> str:
    for member in status.members:
        if member.name == name:
            return f"{member.state}{' leaving' if member.leaving else ''}"
    return "alive" if status.name == name else "unknown"
