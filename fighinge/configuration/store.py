"""Keeps the highest accepted configuration version of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

from fighinge.configuration.history import (
    MAX_STEPS,
    AcceptedVersion,
    AppliedPatch,
    Evaluation,
    accept,
    accepted_from,
    apply_operations,
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

    __slots__ = ("_acceptance", "_listeners", "_refused", "_steps", "_values", "accepted")

    def __init__(self) -> None:
        self._listeners: list[Callable[[AcceptedVersion], None]] = []
        self._values: dict[str, msgspec.Raw] = {}
        self._acceptance: Evaluation | None = None
        self._steps: dict[int, AppliedPatch] = {}
        self._refused: dict[str, str] = {}
        self.accepted: AcceptedVersion | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.accepted.version if self.accepted else 0

    @property
    def digest(self) -> bytes:
        """Return the digest of the document in force, empty before the first."""
        return self.accepted.digest if self.accepted else b""

    def listen(self, listener: Callable[[AcceptedVersion], None]) -> None:
        """Call a listener with each version that comes into force."""
        self._listeners.append(listener)

    def forget_published(self) -> None:
        """Forget what was read, before everything is read anew; what is in force stays."""
        self._values.clear()

    def take(self, values: Values) -> Failure | None:
        """Take what the platform published since the last read.

        :returns: why nothing that was published can be in force
        """
        for key, value in values.values.items():
            self._values.pop(key, None)
            self._values[key] = value
        acceptance = accept(self._values, self._acceptance)
        if isinstance(acceptance, Failure):
            logger.warning("configuration refused: {} {}", acceptance.field, acceptance.reason)
            return acceptance
        self._acceptance = acceptance
        for refused in acceptance.refused:
            self._log_refused(refused.key, refused.failure)
        accepted = acceptance.accepted
        if accepted.version > self.version:
            self._keep_steps(acceptance.steps)
            self._put_in_force(accepted, "published")
        elif accepted.version == self.version and accepted.digest != self.digest:
            logger.warning("version {} is published with another document", self.version)
        return None

    def transfer(self, after_version: int) -> Transfer | None:
        """Return what brings a peer from a version to the one in force."""
        if self.accepted is None or after_version >= self.version:
            return None
        wanted = range(after_version + 1, self.version + 1)
        if after_version > 0 and all(version in self._steps for version in wanted):
            operations = tuple(self._steps[version].operations for version in wanted)
            return Transfer(self.version, self.digest, operations)
        return Transfer(self.version, self.digest, document=self.accepted.raw)

    def take_transfer(
        self, transfer: Transfer, peer: str, *, replaces: bool = False
    ) -> Failure | None:
        """Take a peer's configuration if it is newer and what it claims to be.

        :param replaces: whether another document of the same version is taken too
        :returns: why the transfer is of no use
        """
        if transfer.version < self.version + (not replaces):
            return None
        accepted, steps = self._result_of(transfer)
        if isinstance(accepted, Failure):
            return accepted
        if accepted.version != transfer.version or accepted.digest != transfer.digest:
            reason = f"{peer} tells a version that its patches do not lead to"
            return Failure(ErrorKind.BAD_REQUEST, reason, "digest")
        self._keep_steps(steps)
        self._put_in_force(accepted, f"told by {peer}")
        return None

    def _result_of(
        self, transfer: Transfer
    ) -> tuple[AcceptedVersion | Failure, list[AppliedPatch]]:
        if transfer.document or self.accepted is None:
            return accepted_from(transfer.version, transfer.document), []
        current, steps = self.accepted, []
        for operations in transfer.operations:
            result = apply_operations(current, operations)
            if isinstance(result, Failure):
                return result, []
            steps.append(AppliedPatch(result.version, operations))
            current = result
        return current, steps

    def _keep_steps(self, steps: Iterable[AppliedPatch]) -> None:
        for step in steps:
            self._steps[step.version] = step
        for version in sorted(self._steps)[:-MAX_STEPS]:
            del self._steps[version]

    def _put_in_force(self, accepted: AcceptedVersion, cause: str) -> None:
        before = self.version
        self.accepted = accepted
        logger.info("configuration version {} -> {}: {}", before, self.version, cause)
        for listener in self._listeners:
            listener(accepted)

    def _log_refused(self, key: str, failure: Failure) -> None:
        if self._refused.get(key) != failure.reason:
            self._refused[key] = failure.reason
            logger.warning("patch {} refused: {} {}", key, failure.field, failure.reason)
