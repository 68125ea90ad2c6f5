"""Keeps the highest accepted configuration version of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

from fighinge.configuration.history import (
    MAX_APPLIED_PATCHES,
    AcceptedVersion,
    AppliedPatch,
    Evaluation,
    apply_operations,
    decode_version,
    evaluate,
)
from fighinge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fighinge.configuration.base import Values

logger = logbook.Logger(__name__)


class Transfer(msgspec.Struct, frozen=True, array_like=True):
    """What one process tells another of its configuration.

    Either the operations of the patches since the version that the other one has, or the
    whole document.
    """

    version: int
    digest: bytes
    operations: tuple[bytes, ...] = ()
    document: bytes = b""


class ConfigurationStore:
    """Takes published values and peers' transfers and never puts an older version in force."""

    __slots__ = ("_applied_patches", "_evaluation", "_listeners", "_rejected", "_values", "active")

    def __init__(self) -> None:
        self._listeners: list[Callable[[AcceptedVersion], None]] = []
        self._values: dict[str, msgspec.Raw] = {}
        self._evaluation: Evaluation | None = None
        self._applied_patches: dict[int, AppliedPatch] = {}
        self._rejected: dict[str, str] = {}
        self.active: AcceptedVersion | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.active.version if self.active else 0

    @property
    def digest(self) -> bytes:
        """Return the digest of the document in force, empty before the first."""
        return self.active.digest if self.active else b""

    def listen(self, listener: Callable[[AcceptedVersion], None]) -> None:
        """Call a listener with each version that comes into force."""
        self._listeners.append(listener)

    def discard_published(self) -> None:
        """Forget what was read, before everything is read anew; what is in force stays."""
        self._values.clear()

    def apply_published(self, values: Values) -> Failure | None:
        """Take what the platform published since the last read.

        :returns: why nothing that was published can be in force
        """
        for key, value in values.values.items():
            self._values.pop(key, None)
            self._values[key] = value
        evaluation = evaluate(self._values, self._evaluation)
        if isinstance(evaluation, Failure):
            logger.warning("configuration refused: {} {}", evaluation.field, evaluation.reason)
            return evaluation
        self._evaluation = evaluation
        for rejected in evaluation.rejected:
            self._log_rejected(rejected.key, rejected.failure)
        accepted = evaluation.accepted
        if accepted.version > self.version:
            self._keep_applied_patches(evaluation.applied_patches)
            self._activate(accepted, "published")
        elif accepted.version == self.version and accepted.digest != self.digest:
            logger.warning("version {} is published with another document", self.version)
        return None

    def transfer(self, after_version: int) -> Transfer | None:
        """Return what brings a peer from a version to the one in force."""
        if self.active is None or after_version >= self.version:
            return None
        wanted = range(after_version + 1, self.version + 1)
        if after_version > 0 and all(version in self._applied_patches for version in wanted):
            operations = tuple(self._applied_patches[version].operations for version in wanted)
            return Transfer(self.version, self.digest, operations)
        return Transfer(self.version, self.digest, document=self.active.raw)

    def apply_transfer(
        self, transfer: Transfer, peer: str, *, replaces: bool = False
    ) -> Failure | None:
        """Take a peer's configuration if it is newer and what it claims to be.

        :param replaces: whether another document of the same version is taken too
        :returns: why the transfer is of no use
        """
        if transfer.version < self.version + (not replaces):
            return None
        accepted, applied_patches = self._evaluate_transfer(transfer)
        if isinstance(accepted, Failure):
            return accepted
        if accepted.version != transfer.version or accepted.digest != transfer.digest:
            reason = f"{peer} tells a version that its patches do not lead to"
            return Failure(ErrorKind.BAD_REQUEST, reason, "digest")
        self._keep_applied_patches(applied_patches)
        self._activate(accepted, f"told by {peer}")
        return None

    def _evaluate_transfer(
        self, transfer: Transfer
    ) -> tuple[AcceptedVersion | Failure, list[AppliedPatch]]:
        if transfer.document or self.active is None:
            return decode_version(transfer.version, transfer.document), []
        current, applied_patches = self.active, []
        for operations in transfer.operations:
            result = apply_operations(current, operations)
            if isinstance(result, Failure):
                return result, []
            applied_patches.append(AppliedPatch(result.version, operations))
            current = result
        return current, applied_patches

    def _keep_applied_patches(self, applied_patches: Iterable[AppliedPatch]) -> None:
        for patch in applied_patches:
            self._applied_patches[patch.version] = patch
        for version in sorted(self._applied_patches)[:-MAX_APPLIED_PATCHES]:
            del self._applied_patches[version]

    def _activate(self, accepted: AcceptedVersion, cause: str) -> None:
        before = self.version
        self.active = accepted
        logger.info("configuration version {} -> {}: {}", before, self.version, cause)
        for listener in self._listeners:
            listener(accepted)

    def _log_rejected(self, key: str, failure: Failure) -> None:
        if self._rejected.get(key) != failure.reason:
            self._rejected[key] = failure.reason
            logger.warning("patch {} refused: {} {}", key, failure.field, failure.reason)
