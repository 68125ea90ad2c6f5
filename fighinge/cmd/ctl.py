"""The operators' command: shows the configuration, checks patches and compares processes."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import defopt
import jsonpatch
import jsonpointer
import msgspec

from fighinge.configuration.history import Evaluation, apply_patch, evaluate
from fighinge.configuration.platform_client import PlatformClient
from fighinge.configuration.watcher import KEY_PREFIX
from fighinge.errors import Failure
from fighinge.groups import GroupMap
from fighinge.settings import DEFAULTS
from fighinge.status_comparison import StatusReplies, differences, fetch_statuses

if TYPE_CHECKING:
    from fighinge.model import Document

EXIT_ERROR = 1
EXIT_STATUSES_DIFFER = 3
MAX_VALUE_CHARS = 80


def show(*, platform: str) -> None:
    """Print the active configuration and the rejected patches.

    :param platform: URL of the platform
    """
    evaluation = _evaluation(platform)
    print(f"version {evaluation.accepted.version}")
    print(msgspec.json.format(evaluation.accepted.raw).decode())
    for rejected in evaluation.rejected:
        print(f"refused {rejected.key}: {rejected.failure.field} {rejected.failure.reason}")


def check(patch_file: Path, *, platform: str) -> None:
    """Check whether a patch would be accepted, and print what it changes.

    :param patch_file: JSON file with the patch, as it would be published
    :param platform: URL of the platform
    """
    evaluation = _evaluation(platform)
    result = apply_patch(evaluation.accepted, patch_file.read_bytes())
    if isinstance(result, Failure):
        _exit_with(result)
    print(f"would be accepted as version {result.version}")
    for line in changes(evaluation.accepted.raw, result.raw):
        print(line)


def status(
    *,
    platform: str,
    entry_port: int = DEFAULTS["entry_gossip_port"],
    aggregator_port: int = DEFAULTS["aggregator_gossip_port"],
) -> None:
    """Print the status of every process on the host list, and where processes differ.

    Exits with 3 if processes differ or do not answer.

    :param platform: URL of the platform
    :param entry_port: TCP port of the status of entries
    :param aggregator_port: TCP port of the status of aggregators
    """
    replies = _fetch_statuses(platform, entry_port, aggregator_port)
    for reply in replies.statuses.values():
        alive = sum(member.state == "alive" for member in reply.members)
        print(
            f"{reply.name} in {reply.zone}: configuration version {reply.configuration_version}"
            f"{'' if reply.configuration_confirmed else ' (not confirmed)'}, "
            f"{alive} of {len(reply.members)} members alive, {len(reply.groups_owned)} groups owned"
            f"{', leaving' if reply.leaving else ''}"
        )
        if reply.cold:
            print(f"  cold: {', '.join(reply.cold)}")
        if reply.quarantined:
            print(f"  quarantined: {', '.join(reply.quarantined)}")
    for url, reason in replies.unanswered.items():
        print(f"{url} does not answer: {reason}")
    lines = differences(replies.statuses.values())
    print("views differ:" if lines else "all views agree")
    for line in lines:
        print(f"  {line}")
    if lines or replies.unanswered:
        sys.exit(EXIT_STATUSES_DIFFER)


def explain(
    name: str,
    *,
    platform: str,
    entry_port: int = DEFAULTS["entry_gossip_port"],
    aggregator_port: int = DEFAULTS["aggregator_gossip_port"],
) -> None:
    """Print the configuration and owners of a service, shard, backend server or replica group.

    :param name: name of the service, shard, backend server or replica group
    :param platform: URL of the platform
    :param entry_port: TCP port of the status of entries
    :param aggregator_port: TCP port of the status of aggregators
    """
    document = _evaluation(platform).accepted.document
    group_map = GroupMap.from_document(document)
    lines = describe(document, group_map, name)
    if not lines:
        print(f"there is no service, shard, server or group {name!r}", file=sys.stderr)
        sys.exit(EXIT_ERROR)
    print("\n".join(lines))
    groups = {
        group.name
        for group in group_map.groups.values()
        if any(group.name in line for line in lines)
    }
    replies = _fetch_statuses(platform, entry_port, aggregator_port)
    for reply in replies.statuses.values():
        for group in sorted(groups & set(reply.groups_owned)):
            cold = sorted(set(group_map.groups[group].backend_servers) & set(reply.cold))
            print(f"{reply.name} owns {group}; cold there: {', '.join(cold) or 'none'}")


def changes(raw_before: bytes, raw_after: bytes) -> list[str]:
    """Return a line for each difference between two documents, with the old value."""
    before, after = msgspec.json.decode(raw_before), msgspec.json.decode(raw_after)
    lines = []
    for operation in jsonpatch.make_patch(before, after):
        path = operation["path"]
        old = jsonpointer.resolve_pointer(before, operation.get("from", path), None)
        new = operation.get("value", old)
        if operation["op"] == "remove":
            lines.append(f"removes {path}: {_abbreviated(old)}")
        elif operation["op"] == "add":
            lines.append(f"adds {path}: {_abbreviated(new)}")
        elif operation["op"] == "move":
            lines.append(f"moves {operation['from']} to {path}")
        else:
            lines.append(f"changes {path}: {_abbreviated(old)} to {_abbreviated(new)}")
    return lines


def describe(document: Document, group_map: GroupMap, name: str) -> list[str]:
    """Return the configuration of every object with the name."""
    lines = []
    service = document.services.get(name)
    if service is not None:
        lines.append(f"service {name}: {_abbreviated(msgspec.to_builtins(service))}")
    server = document.backend_servers.get(name)
    if server is not None:
        in_service = document.zones[server.zone].in_service
        lines.append(f"backend server {name}: {_abbreviated(msgspec.to_builtins(server))}")
        lines.append(f"  zone {server.zone} is {'in' if in_service else 'out of'} service")
        lines.append(f"  in replica group {group_map.group_of(name)}")
    group = group_map.groups.get(name)
    if group is not None:
        lines.append(f"replica group {name}: {', '.join(group.backend_servers)}")
    for collection_name, collection in document.collections.items():
        for snapshot in collection.snapshots:
            shard = snapshot.shards.get(name)
            if shard is not None:
                lines.append(
                    f"shard {name} of {collection_name} at index version "
                    f"{snapshot.index_version}: keys {shard.from_key!r} to {shard.to_key!r}, "
                    f"at {', '.join(shard.replicas)}"
                )
                lines.append(f"  in replica group {group_map.group_of(shard.replicas[0])}")
    return lines


def _abbreviated(value: object) -> str:
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= MAX_VALUE_CHARS else f"{text[:MAX_VALUE_CHARS]}..."


def _fetch_statuses(platform: str, entry_port: int, aggregator_port: int) -> StatusReplies:
    hosts = asyncio.run(_with_platform(platform, lambda client: client.hosts()))
    if isinstance(hosts, Failure):
        _exit_with(hosts)
    urls = [
        f"http://{host.address}:{port}" for host in hosts for port in (entry_port, aggregator_port)
    ]
    return asyncio.run(fetch_statuses(urls))


def _evaluation(platform: str) -> Evaluation:
    values = asyncio.run(_with_platform(platform, lambda client: client.read(KEY_PREFIX, 0, 0.0)))
    evaluation = values if isinstance(values, Failure) else evaluate(values.values)
    if isinstance(evaluation, Failure):
        _exit_with(evaluation)
    return evaluation


async def _with_platform(platform: str, read):
    client = PlatformClient(platform, "ctl")
    try:
        return await read(client)
    finally:
        client.close()


def _exit_with(failure: Failure) -> None:
    print(f"error: {failure.field} {failure.reason}", file=sys.stderr)
    sys.exit(EXIT_ERROR)


def main() -> None:
    """Run the command."""
    defopt.run([show, check, status, explain])


if __name__ == "__main__":
    main()
