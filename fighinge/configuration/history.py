"""Which configuration version is in force: a pure function of what was published."""

from __future__ import annotations

from typing import TYPE_CHECKING

import jsonpatch
import jsonpointer
import msgspec

from fighinge.errors import ErrorKind, Failure
from fighinge.model import Document, decode_document

if TYPE_CHECKING:
    from collections.abc import Mapping

BASE_KEY = "configuration/base"
PATCH_PREFIX = "configuration/patches/"


class Base(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole document under a version number."""

    version: int
    document: msgspec.Raw


class Patch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An RFC 6902 patch that makes one version out of the one before."""

    applies_to: int
    operations: msgspec.Raw


class Accepted(msgspec.Struct, frozen=True):
    """A configuration version with its document."""

    version: int
    document: Document
    raw: bytes


class Refused(msgspec.Struct, frozen=True):
    """A published patch that no process accepts, and why."""

    key: str
    failure: Failure


class Acceptance(msgspec.Struct, frozen=True):
    """What follows from the published values."""

    accepted: Accepted
    refused: tuple[Refused, ...]


def accept(values: Mapping[str, msgspec.Raw]) -> Acceptance | Failure:
    """Apply the published patches to the published base, in the order of their keys.

    A patch on another version than the one reached, or with an invalid result, is refused;
    later patches are judged on their own.
    """
    base = _decode_base(values)
    if isinstance(base, Failure):
        return base
    accepted, refused = base, []
    for key in sorted(key for key in values if key.startswith(PATCH_PREFIX)):
        result = apply_patch(accepted, bytes(values[key]))
        if isinstance(result, Failure):
            refused.append(Refused(key, result))
        else:
            accepted = result
    return Acceptance(accepted, tuple(refused))


def apply_patch(current: Accepted, raw_patch: bytes) -> Accepted | Failure:
    """Return the version that a patch makes of the current one, or why it is refused."""
    try:
        patch = msgspec.json.decode(raw_patch, type=Patch)
        operations = msgspec.json.decode(patch.operations)
    except msgspec.DecodeError as error:
        return Failure(ErrorKind.BAD_REQUEST, f"not a patch: {error}")
    if patch.applies_to != current.version:
        reason = f"applies to version {patch.applies_to}, but {current.version} is in force"
        return Failure(ErrorKind.BAD_REQUEST, reason, "applies_to")
    try:
        patched = jsonpatch.apply_patch(msgspec.json.decode(current.raw), operations)
    except (jsonpatch.JsonPatchException, jsonpointer.JsonPointerException, TypeError) as error:
        return Failure(ErrorKind.BAD_REQUEST, f"does not apply: {error}", "operations")
    return _accepted(current.version + 1, msgspec.json.encode(patched))


def _decode_base(values: Mapping[str, msgspec.Raw]) -> Accepted | Failure:
    raw = values.get(BASE_KEY)
    if raw is None:
        return Failure(ErrorKind.NOT_READY, "no base is published", BASE_KEY)
    try:
        base = msgspec.json.decode(raw, type=Base)
    except msgspec.DecodeError as error:
        return Failure(ErrorKind.BAD_REQUEST, f"not a base: {error}", BASE_KEY)
    return _accepted(base.version, bytes(base.document))


def _accepted(version: int, raw: bytes) -> Accepted | Failure:
    document = decode_document(raw)
    if isinstance(document, Failure):
        return document
    return Accepted(version, document, raw)
