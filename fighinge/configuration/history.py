"""Evaluation of the published base and patches to a configuration version."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import jsonpatch
import jsonpointer
import msgspec

from fighinge.decoding import UNREADABLE_ERRORS
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
    """A complete document under a version number, or the keys of its parts.

    Each part is a JSON string with a section of the document's text. ``sha256`` is the
    hexadecimal digest of the complete text.
    """

    version: int
    document: msgspec.Raw = msgspec.Raw(b"")
    parts: tuple[str, ...] = ()
    sha256: str = ""


class Patch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A JSON patch (RFC 6902) from one version to the next, complete or in parts."""

    applies_to: int
    operations: msgspec.Raw = msgspec.Raw(b"")
    parts: tuple[str, ...] = ()
    sha256: str = ""


class BaseDocument(msgspec.Struct, frozen=True):
    """The complete text of the base document."""

    version: int
    text: bytes
    digest: bytes


class AcceptedVersion(msgspec.Struct, frozen=True):
    """A configuration version with its valid document."""

    version: int
    document: Document
    raw: bytes
    digest: bytes


class AppliedPatch(msgspec.Struct, frozen=True):
    """An applied patch: its operations and the version that they produced."""

    version: int
    operations: bytes


class RejectedPatch(msgspec.Struct, frozen=True):
    """A published patch that is rejected or still lacks parts, with the reason."""

    key: str
    failure: Failure


class EvaluatedPatch(msgspec.Struct, frozen=True):
    """An evaluated patch, identified by its key and the digest of its content."""

    key: str
    digest: bytes


class Evaluation(msgspec.Struct, frozen=True):
    """Result of evaluating the published values.

    ``applied_patches`` are the most recent accepted patches. ``evaluated`` are all patches
    evaluated so far in order of publication, after which a later call resumes.
    """

    base_digest: bytes
    accepted: AcceptedVersion
    rejected: tuple[RejectedPatch, ...] = ()
    applied_patches: tuple[AppliedPatch, ...] = ()
    evaluated: tuple[EvaluatedPatch, ...] = ()


def evaluate(
    values: Mapping[str, msgspec.Raw], earlier: Evaluation | None = None
) -> Evaluation | Failure:
    """Apply the published patches to the published base in order of publication.

    The result is a pure function of the publications and their order, so that all processes
    reach the same version without coordination. A patch that does not apply to the current
    version, or whose result is invalid, is rejected; later patches are evaluated
    independently of it. Patches to versions before the base are skipped. Evaluation stops
    at a patch whose parts are incomplete.

    :param values: published values in order of publication
    :param earlier: an earlier result, which avoids applying its patches again
    """
    base = _decode_base(values)
    if isinstance(base, Failure):
        return base
    patches = _decode_patches(values)
    evaluation = _resume(earlier, base, patches) or _evaluate_base(base)
    if isinstance(evaluation, Failure):
        return evaluation
    for key, patch in patches[len(evaluation.evaluated) :]:
        if isinstance(patch, Failure) and patch.kind is ErrorKind.NOT_READY:
            rejected = (*evaluation.rejected, RejectedPatch(key, patch))
            return msgspec.structs.replace(evaluation, rejected=rejected)
        evaluation = _evaluate_patch(evaluation, base.version, key, patch)
    return evaluation


def apply_patch(current: AcceptedVersion, raw_patch: bytes) -> AcceptedVersion | Failure:
    """Return the version that an encoded patch produces, or the reason for its rejection."""
    patch = _decode_patch(raw_patch, {})
    return patch if isinstance(patch, Failure) else _apply(current, patch)


def apply_operations(current: AcceptedVersion, raw_operations: bytes) -> AcceptedVersion | Failure:
    """Return the version that JSON patch operations produce from the current one."""
    try:
        operations = msgspec.json.decode(raw_operations)
        patched = jsonpatch.apply_patch(msgspec.json.decode(current.raw), operations)
    except UNREADABLE_ERRORS as error:
        return Failure(ErrorKind.BAD_REQUEST, f"invalid JSON patch: {error}", "operations")
    except (
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
        TypeError,
        KeyError,
        AttributeError,
    ) as error:
        return Failure(ErrorKind.BAD_REQUEST, f"patch cannot be applied: {error}", "operations")
    return decode_version(current.version + 1, msgspec.json.encode(patched))


def decode_version(version: int, raw: bytes) -> AcceptedVersion | Failure:
    """Return the version with its decoded document, or a failure that names the field."""
    document = decode_document(raw)
    if isinstance(document, Failure):
        return document
    return AcceptedVersion(version, document, raw, _digest(raw))


def _evaluate_patch(evaluation: Evaluation, base_version: int, key: str, patch: Patch | Failure):
    """Return the evaluation after one more patch is accepted, rejected or skipped."""
    evaluated = (*evaluation.evaluated, _identify_patch(key, patch))
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
    """Return an earlier result if its base and patches are still published unchanged."""
    if earlier is None or earlier.base_digest != base.digest:
        return None
    first = tuple(_identify_patch(key, patch) for key, patch in patches[: len(earlier.evaluated)])
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
        reason = f"applies to version {patch.applies_to}, but {current.version} is active"
        return Failure(ErrorKind.BAD_REQUEST, reason, "applies_to")
    return apply_operations(current, bytes(patch.operations))


def _decode_base(values: Mapping[str, msgspec.Raw]) -> BaseDocument | Failure:
    raw = values.get(BASE_KEY)
    if raw is None:
        return Failure(ErrorKind.NOT_READY, "no base document is published", BASE_KEY)
    try:
        base = msgspec.json.decode(raw, type=Base)
    except UNREADABLE_ERRORS as error:
        return Failure(ErrorKind.BAD_REQUEST, f"invalid base document: {error}", BASE_KEY)
    text = _join_parts(base.parts, base.sha256, values) if base.parts else bytes(base.document)
    if isinstance(text, Failure):
        return text
    return BaseDocument(base.version, text, _digest(b"%d\n%b" % (base.version, text)))


def _decode_patches(values: Mapping[str, msgspec.Raw]) -> list[tuple[str, Patch | Failure]]:
    keys = [key for key in values if key.startswith(PATCH_PREFIX)]
    return [(key, _decode_patch(bytes(values[key]), values)) for key in keys]


def _identify_patch(key: str, patch: Patch | Failure) -> EvaluatedPatch:
    if isinstance(patch, Failure):
        return EvaluatedPatch(key, _digest(patch.reason.encode()))
    return EvaluatedPatch(key, _digest(b"%d\n%b" % (patch.applies_to, bytes(patch.operations))))


def _decode_patch(raw: bytes, values: Mapping[str, msgspec.Raw]) -> Patch | Failure:
    try:
        patch = msgspec.json.decode(raw, type=Patch)
    except UNREADABLE_ERRORS as error:
        return Failure(ErrorKind.BAD_REQUEST, f"invalid patch: {error}")
    if not patch.parts:
        return patch
    text = _join_parts(patch.parts, patch.sha256, values)
    if isinstance(text, Failure):
        return text
    return Patch(patch.applies_to, msgspec.Raw(text))


def _join_parts(
    keys: tuple[str, ...], sha256: str, values: Mapping[str, msgspec.Raw]
) -> bytes | Failure:
    """Return the text joined from its parts if they are complete and match the digest.

    A mismatch counts as not ready, because some parts may still be those of an earlier text.
    """
    parts: list[str] = []
    for key in keys:
        if key not in values:
            return Failure(ErrorKind.NOT_READY, "part is not published yet", key)
        try:
            parts.append(msgspec.json.decode(values[key], type=str))
        except UNREADABLE_ERRORS as error:
            return Failure(ErrorKind.BAD_REQUEST, f"invalid part: {error}", key)
    text = "".join(parts).encode()
    if hashlib.sha256(text).hexdigest() != sha256:
        reason = "SHA-256 digest of the joined parts does not match the published digest"
        return Failure(ErrorKind.NOT_READY, reason, "sha256")
    return text


def _digest(raw: bytes) -> bytes:
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).digest()
