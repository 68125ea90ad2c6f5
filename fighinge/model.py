"""The configuration document that operators publish, and its validation."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from fighinge.decoding import UNREADABLE_ERRORS
from fighinge.errors import ErrorKind, Failure

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]


class StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the document's types; unknown fields are errors."""


class Zone(StrictStruct, kw_only=True):
    """A data centre; one that is out of service gets no new work."""

    region: str = "default"
    in_service: bool = True


class QueryClass(StrictStruct, kw_only=True):
    """A class of queries with a common weight and a common budget for retries and hedges.

    Under overload, classes with a higher ``rank`` are refused first. ``extra_load_share`` limits
    retries and hedges to a fraction of the calls.
    """

    weight: PositiveInt = 1
    rank: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    extra_load_share: Fraction = 0.05


class BackendServerConfig(StrictStruct, kw_only=True):
    """The configuration of a backend server.

    ``connection_limit`` allows a connection from each of two aggregators that both believe they
    own the server.
    """

    host: str
    port: Port
    zone: str
    slots: PositiveInt
    connection_limit: Annotated[int, msgspec.Meta(ge=3)]
    leaving: bool = False
    cold: bool = False


class ShardConfig(StrictStruct, kw_only=True):
    """A shard: a half-open key range and the backend servers that hold its replicas.

    The range has no upper bound if ``to_key`` is empty.
    """

    from_key: str = ""
    to_key: str = ""
    replicas: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]

    def covers(self, key: str) -> bool:
        """Return whether the key is in the shard's range."""
        return self.from_key <= key and (not self.to_key or key < self.to_key)


class Snapshot(StrictStruct, kw_only=True):
    """One index version of a collection, with its shard map."""

    index_version: PositiveInt
    shards: dict[str, ShardConfig]


class Collection(StrictStruct, kw_only=True):
    """A set of records that is searched as a whole, in one or more snapshots.

    Queries use the newest fully served snapshot from ``minimum_index_version`` on. If
    ``pinned_index_version`` is set, they use that snapshot even if it is not fully served.
    """

    snapshots: Annotated[tuple[Snapshot, ...], msgspec.Meta(min_length=1)]
    minimum_index_version: PositiveInt = 1
    pinned_index_version: PositiveInt | None = None

    def snapshot(self, index_version: int) -> Snapshot | None:
        """Return the snapshot of an index version, or none if there is none."""
        for snapshot in self.snapshots:
            if snapshot.index_version == index_version:
                return snapshot
        return None


class Service(StrictStruct, kw_only=True):
    """A query service on a collection.

    ``rule`` selects between an early answer with less coverage and waiting for full coverage;
    an answer below ``minimum_coverage`` is an error. ``canary`` selects whether a query that has
    not been answered recently is tried on one replica group before it is sent to the others, so
    that a query that crashes backend servers reaches few of them.
    """

    collection: str
    query_class: str
    tenant: str = "default"
    deadline_s: Seconds = 1.0
    rule: Literal["latency_first", "coverage_first"] = "coverage_first"
    soft_deadline_s: Seconds | None = None
    minimum_coverage: Fraction = 0.0
    canary: Literal["always", "off"] = "always"


class Document(StrictStruct, kw_only=True):
    """The configuration document."""

    zones: dict[Name, Zone]
    classes: dict[Name, QueryClass]
    backend_servers: dict[Name, BackendServerConfig]
    collections: dict[Name, Collection]
    services: dict[Name, Service]


def decode_document(raw: bytes) -> Document | Failure:
    """Decode and validate a document.

    :returns: the document, or a failure that names the invalid field
    """
    try:
        document = msgspec.json.decode(raw, type=Document)
    except UNREADABLE_ERRORS as error:
        return _decode_failure(str(error))
    return check_document(document) or document


def check_document(document: Document) -> Failure | None:
    """Validate what the types cannot express: references between objects, and key ranges."""
    for name, server in document.backend_servers.items():
        if server.zone not in document.zones:
            return _undefined_name(f"backend_servers.{name}.zone", server.zone)
    for name, service in document.services.items():
        if service.collection not in document.collections:
            return _undefined_name(f"services.{name}.collection", service.collection)
        if service.query_class not in document.classes:
            return _undefined_name(f"services.{name}.query_class", service.query_class)
        if service.soft_deadline_s and service.soft_deadline_s > service.deadline_s:
            field = f"services.{name}.soft_deadline_s"
            return Failure(ErrorKind.BAD_REQUEST, "must not exceed deadline_s", field)
    for name, collection in document.collections.items():
        failure = _check_collection(document, name, collection)
        if failure is not None:
            return failure
    return None


def _check_collection(document: Document, name: str, collection: Collection) -> Failure | None:
    seen: set[int] = set()
    failure = _check_versions_in_use(name, collection)
    if failure is not None:
        return failure
    for position, snapshot in enumerate(collection.snapshots):
        field = f"collections.{name}.snapshots[{position}]"
        if snapshot.index_version in seen:
            reason = f"index version {snapshot.index_version} is used by an earlier snapshot"
            return Failure(ErrorKind.BAD_REQUEST, reason, field)
        seen.add(snapshot.index_version)
        failure = _check_replicas(document, snapshot, field) or _check_ranges(snapshot, field)
        if failure is not None:
            return failure
    return None


def _check_versions_in_use(name: str, collection: Collection) -> Failure | None:
    versions = [snapshot.index_version for snapshot in collection.snapshots]
    pinned = collection.pinned_index_version
    if pinned is not None and pinned not in versions:
        reason = f"no snapshot has index version {pinned}"
        field = f"collections.{name}.pinned_index_version"
        return Failure(ErrorKind.BAD_REQUEST, reason, field)
    if collection.minimum_index_version > max(versions):
        reason = "is above the index version of every snapshot"
        field = f"collections.{name}.minimum_index_version"
        return Failure(ErrorKind.BAD_REQUEST, reason, field)
    return None


def _check_replicas(document: Document, snapshot: Snapshot, field: str) -> Failure | None:
    for shard_name, shard in snapshot.shards.items():
        for replica in shard.replicas:
            if replica not in document.backend_servers:
                return _undefined_name(f"{field}.shards.{shard_name}.replicas", replica)
    return None


def _check_ranges(snapshot: Snapshot, field: str) -> Failure | None:
    """Check that the key ranges of the shards cover each key exactly once."""
    ordered = sorted(snapshot.shards.items(), key=lambda item: item[1].from_key)
    expected = ""
    for position, (name, shard) in enumerate(ordered):
        if shard.from_key != expected:
            reason = f"is {shard.from_key!r}, but must be {expected!r} to leave no gap or overlap"
            return Failure(ErrorKind.BAD_REQUEST, reason, f"{field}.shards.{name}.from_key")
        last = position == len(ordered) - 1
        if last != (shard.to_key == ""):
            reason = "must be empty for the last shard only"
            return Failure(ErrorKind.BAD_REQUEST, reason, f"{field}.shards.{name}.to_key")
        expected = shard.to_key
    if not ordered:
        return Failure(ErrorKind.BAD_REQUEST, "has no shards", f"{field}.shards")
    return None


def _undefined_name(field: str, name: str) -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, f"{name!r} is not defined", field)


def _decode_failure(message: str) -> Failure:
    """Split a message from msgspec into the reason and the path of the field."""
    reason, found, path = message.partition(" - at `$")
    field = path.rstrip("`").lstrip(".") if found else ""
    return Failure(ErrorKind.BAD_REQUEST, reason, field)
