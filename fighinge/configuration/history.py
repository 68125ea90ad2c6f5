"""Which configuration version is in force: a pure function of what was published."""

from __future__ import annotations

import hashlib
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
PART_PREFIX = "configuration/parts/"
DIGEST_BYTES = 8
MAX_APPLIED_PATCHES = 64


class Base(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole document under a version number, or the keys of its parts.

    Each part is a JSON string with a slice of the document's text; ``sha256`` is the digest
    of the whole text in hexadecimal.
    """

    version: int
    document: msgspec.Raw = msgspec.Raw(b"")
    parts: tuple[str, ...] = ()
    sha256: str = ""


class Patch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An RFC 6902 patch that makes one version out of the one before."""

    applies_to: int
    operations: msgspec.Raw = msgspec.Raw(b"")
    parts: tuple[str, ...] = ()
    sha256: str = ""


class BaseDocument(msgspec.Struct, frozen=True):
    """The text of a base's document, whole."""

    version: int
    text: bytes
    digest: bytes


class AcceptedVersion(msgspec.Struct, frozen=True):
    """A configuration version with its document."""

    version: int
    document: Document
    raw: bytes
    digest: bytes


class AppliedPatch(msgspec.Struct, frozen=True):
    """An accepted patch: its operations led to a version."""

    version: int
    operations: bytes


class RejectedPatch(msgspec.Struct, frozen=True):
    """A published patch that no process accepts, and why."""

    key: str
    failure: Failure


class EvaluatedPatch(msgspec.Struct, frozen=True):
    """A patch that was accepted or refused, by the digest of its content."""

    key: str
    digest: bytes


class Evaluation(msgspec.Struct, frozen=True):
    """What follows from the published values.

    ``steps`` are the last accepted patches; ``judged`` are all patches in their order, from
    which a later call goes on.
    """

    base_digest: bytes
    accepted: AcceptedVersion
    rejected: tuple[RejectedPatch, ...] = ()
    applied_patches: tuple[AppliedPatch, ...] = ()
    evaluated: tuple[EvaluatedPatch, ...] = ()


def evaluate(
    values: Mapping[str, msgspec.Raw], earlier: Evaluation | None = None
) -> Evaluation | Failure:
    """Apply the published patches to the published base, in the order of publication.

    A patch on another version than the one reached, or with an invalid result, is refused;
    later patches are judged on their own. Patches on versions before the base are passed
    over. Where parts are missing everything before them counts.

    :param values: what is published, in the order of publication
    :param earlier: an earlier result, which saves applying the same patches again
    """
    base_text = _decode_base(values)
    if isinstance(base_text, Failure):
        return base_text
    patches = _decode_patches(values)
    evaluation = _resume(earlier, base_text, patches) or _evaluate_base(base_text)
    if isinstance(evaluation, Failure):
        return evaluation
    for key, patch in patches[len(evaluation.evaluated) :]:
        if isinstance(patch, Failure) and patch.kind is ErrorKind.NOT_READY:
            rejected = (*evaluation.rejected, RejectedPatch(key, patch))
            return msgspec.structs.replace(evaluation, rejected=rejected)
        evaluation = _evaluate_patch(evaluation, base_text.version, key, patch)
    return evaluation


def apply_patch(current: AcceptedVersion, raw_patch: bytes) -> AcceptedVersion | Failure:
    """Return the version that a patch makes of the current one, or why it is refused."""
    patch = _decode_patch(raw_patch, {})
    return patch if isinstance(patch, Failure) else _apply(current, patch)


def apply_operations(current: AcceptedVersion, raw_operations: bytes) -> AcceptedVersion | Failure:
    """Return the version that JSON patch operations make of the current one."""
    try:
        operations = msgspec.json.decode(raw_operations)
        patched = jsonpatch.apply_patch(msgspec.json.decode(current.raw), operations)
    except msgspec.DecodeError as error:
        return Failure(ErrorKind.BAD_REQUEST, f"not a patch: {error}", "operations")
    except (
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
        TypeError,
        KeyError,
        AttributeError,
    ) as error:
        return Failure(ErrorKind.BAD_REQUEST, f"does not apply: {error}", "operations")
    return decode_version(current.version + 1, msgspec.json.encode(patched))


def decode_version(version: int, raw: bytes) -> AcceptedVersion | Failure:
    """Return a checked document under its version, or the failure that names the field."""
    document = decode_document(raw)
    if isinstance(document, Failure):
        return document
    return AcceptedVersion(version, document, raw, _digest(raw))


def _evaluate_patch(evaluation: Evaluation, base_version: int, key: str, patch: Patch | Failure):
    """Return the acceptance with one patch more accepted, refused or passed over."""
    evaluated = (*evaluation.evaluated, _evaluated_patch(key, patch))
    replace = msgspec.structs.replace
    if isinstance(patch, Patch) and patch.applies_to < base_version:
        return replace(evaluation, evaluated=evaluated)
    result = patch if isinstance(patch, Failure) else _apply(evaluation.accepted, patch)
    if isinstance(result, Failure):
        return replace(
            evaluation,
            evaluated=evaluated,
            rejected=(*evaluation.rejected, RejectedPatch(key, result)),
        )
    applied_patches = (
        *evaluation.applied_patches,
        AppliedPatch(result.version, bytes(patch.operations)),
    )[-MAX_APPLIED_PATCHES:]
    return replace(
        evaluation, evaluated=evaluated, accepted=result, applied_patches=applied_patches
    )


def _resume(
    earlier: Evaluation | None, base: BaseDocument, patches: list[tuple[str, Patch | Failure]]
) -> Evaluation | None:
    """Return an earlier result if what it judged is still what is published first."""
    if earlier is None or earlier.base_digest != base.digest:
        return None
    first = tuple(_evaluated_patch(key, patch) for key, patch in patches[: len(earlier.evaluated)])
    if first != earlier.evaluated:
        return None
    rejected = tuple(
        rejected
        for rejected in earlier.rejected
        if rejected.failure.kind is not ErrorKind.NOT_READY
    )
    return msgspec.structs.replace(earlier, rejected=rejected)


def _evaluate_base(base: BaseDocument) -> Evaluation | Failure:
    accepted = decode_version(base.version, base.text)
    return accepted if isinstance(accepted, Failure) else Evaluation(base.digest, accepted)


def _apply(current: AcceptedVersion, patch: Patch) -> AcceptedVersion | Failure:
    if patch.applies_to != current.version:
        reason = f"applies to version {patch.applies_to}, but {current.version} is in force"
        return Failure(ErrorKind.BAD_REQUEST, reason, "applies_to")
    return apply_operations(current, bytes(patch.operations))


def _decode_base(values: Mapping[str, msgspec.Raw]) -> BaseDocument | Failure:
    raw = values.get(BASE_KEY)
    if raw is None:
        return Failure(ErrorKind.NOT_READY, "no base is published", BASE_KEY)
    try:
        base = msgspec.json.decode(raw, type=Base)
    except msgspec.DecodeError as error:
        return Failure(ErrorKind.BAD_REQUEST, f"not a base: {error}", BASE_KEY)
    text = _join_parts(base.parts, base.sha256, values) if base.parts else bytes(base.document)
    if isinstance(text, Failure):
        return text
    return BaseDocument(base.version, text, _digest(b"%d\n%b" % (base.version, text)))


def _decode_patches(values: Mapping[str, msgspec.Raw]) -> list[tuple[str, Patch | Failure]]:
    keys = [key for key in values if key.startswith(PATCH_PREFIX)]
    return [(key, _decode_patch(bytes(values[key]), values)) for key in keys]


def _evaluated_patch(key: str, patch: Patch | Failure) -> EvaluatedPatch:
    if isinstance(patch, Failure):
        return EvaluatedPatch(key, _digest(patch.reason.encode()))
    return EvaluatedPatch(key, _digest(b"%d\n%b" % (patch.applies_to, bytes(patch.operations))))


def _decode_patch(raw: bytes, values: Mapping[str, msgspec.Raw]) -> Patch | Failure:
    try:
        patch = msgspec.json.decode(raw, type=Patch)
    except msgspec.DecodeError as error:
        return Failure(ErrorKind.BAD_REQUEST, f"not a patch: {error}")
    if not patch.parts:
        return patch
    text = _join_parts(patch.parts, patch.sha256, values)
    if isinstance(text, Failure):
        return text
    return Patch(patch.applies_to, msgspec.Raw(text))


def _join_parts(
    keys: tuple[str, ...], sha256: str, values: Mapping[str, msgspec.Raw]
) -> bytes | Failure:
    """Return a text from its parts, only if all of them belong together."""
    parts: list[str] = []
    for key in keys:
        if key not in values:
            return Failure(ErrorKind.NOT_READY, "part is not published yet", key)
        try:
            parts.append(msgspec.json.decode(values[key], type=str))
        except msgspec.DecodeError as error:
            return Failure(ErrorKind.BAD_REQUEST, f"not a part: {error}", key)
    text = "".join(parts).encode()
    if hashlib.sha256(text).hexdigest() != sha256:
        reason = "the parts do not have the digest that is published with their keys"
        return Failure(ErrorKind.NOT_READY, reason, "sha256")
    return text


def _digest(raw: bytes) -> bytes:
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).digest()
