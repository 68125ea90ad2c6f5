"""The configuration store of a process."""

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
    """A configuration version as sent to a peer.

    Contains either the operations of the patches since the peer's version or the complete
    document.
    """

    version: int
    digest: bytes
    operations: tuple[bytes, ...] = ()
    document: bytes = b""


class ConfigurationStore:
    """Activates versions from published values and peers; never reverts to an older one."""

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
        """Return the active version, or 0 if there is none yet."""
        return self.active.version if self.active else 0

    @property
    def digest(self) -> bytes:
        """Return the digest of the active document, or ``b""`` if there is none yet."""
        return self.active.digest if self.active else b""

    def listen(self, listener: Callable[[AcceptedVersion], None]) -> None:
        """Register a listener that is called with each version that becomes active."""
        self._listeners.append(listener)

    def discard_published(self) -> None:
        """Discard the published values before a full read; the active version stays."""
        self._values.clear()

    def apply_published(self, values: Values) -> Failure | None:
        """Apply the values that the platform published since the last read.

        :returns: the reason why no published version can be evaluated, or ``None``
        """
        for key, value in values.values.items():
            self._values.pop(key, None)
            self._values[key] = value
        evaluation = evaluate(self._values, self._evaluation)
        if isinstance(evaluation, Failure):
            logger.warning("configuration rejected: {} {}", evaluation.field, evaluation.reason)
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
        """Return the transfer from a peer's version to the active one, or ``None`` if not newer."""
        if self.active is None or after_version >= self.version:
            return None
        missing_versions = range(after_version + 1, self.version + 1)
        if after_version > 0 and all(
            version in self._applied_patches for version in missing_versions
        ):
            operations = tuple(
                self._applied_patches[version].operations for version in missing_versions
            )
            return Transfer(self.version, self.digest, operations)
        return Transfer(self.version, self.digest, document=self.active.raw)

    def apply_transfer(
        self, transfer: Transfer, peer: str, *, replaces: bool = False
    ) -> Failure | None:
        """Apply a transfer from a peer if it is newer and matches its version and digest.

        :param replaces: whether a different document of the same version is applied too
        :returns: the reason why the transfer is invalid, or ``None``
        """
        if transfer.version < self.version + (not replaces):
            return None
        accepted, applied_patches = self._evaluate_transfer(transfer)
        if isinstance(accepted, Failure):
            return accepted
        if accepted.version != transfer.version or accepted.digest != transfer.digest:
            reason = f"transfer from {peer} does not produce the version and digest that it names"
            return Failure(ErrorKind.BAD_REQUEST, reason, "digest")
        self._keep_applied_patches(applied_patches)
        self._activate(accepted, f"received from {peer}")
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
            logger.warning("patch {} rejected: {} {}", key, failure.field, failure.reason)
