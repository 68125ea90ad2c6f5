"""Confirmation that the active configuration version of a process is current."""

from __future__ import annotations

PEER_REPLY_WAIT_S = 1.0
NEWER_VERSION_WAIT_S = 5.0
CONFLICT_WAIT_S = 1.0
PAUSE_WAIT_S = 2.0


class Confirmation:
    """Collects evidence that the active version is current and decides when it suffices.

    The version is confirmed by a peer whose own version is confirmed and not newer, or by a
    complete read of the platform if no such peer reports within ``PEER_REPLY_WAIT_S``. If a
    peer reports a newer version, confirmation waits up to ``NEWER_VERSION_WAIT_S`` for it. A
    version conflict postpones confirmation by ``CONFLICT_WAIT_S``. Once confirmed, the version
    stays confirmed when a newer one appears or when platform and peers become unreachable. A
    pause of this process revokes the confirmation until a peer or the platform is heard again,
    or until ``PAUSE_WAIT_S`` pass without either.
    """

    __slots__ = (
        "_confirmed",
        "_confirmed_peer_version",
        "_conflict_at_s",
        "_newest_peer_version",
        "_newest_received_at_s",
        "_paused_at_s",
        "_platform_read_at_s",
    )

    def __init__(self) -> None:
        self._confirmed = False
        self._conflict_at_s = -CONFLICT_WAIT_S
        self._newest_peer_version = 0
        self._newest_received_at_s = 0.0
        self._paused_at_s: float | None = None
        self._confirmed_peer_version = 0
        self._platform_read_at_s: float | None = None

    def record_peer_version(self, version: int, now_s: float, *, confirmed: bool) -> None:
        """Record the active version of a peer.

        :param confirmed: whether the peer has confirmed that version
        """
        if version >= self._newest_peer_version:
            self._newest_peer_version, self._newest_received_at_s = version, now_s
        if confirmed:
            self._confirmed_peer_version = max(self._confirmed_peer_version, version)

    def record_conflict(self, now_s: float) -> None:
        """Record that a peer has a different document under the same version."""
        self._conflict_at_s = now_s

    def record_platform_read(self, now_s: float) -> None:
        """Record the first complete read of the published values since the start or a pause."""
        if self._platform_read_at_s is None:
            self._platform_read_at_s = now_s

    def handle_pause(self, now_s: float) -> None:
        """Revoke the confirmation and its evidence, after a pause of this process."""
        if self._confirmed:
            self._confirmed = False
            self._paused_at_s = now_s
        self._confirmed_peer_version = 0
        self._newest_peer_version = 0
        self._platform_read_at_s = None

    def is_confirmed(self, version: int, now_s: float) -> bool:
        """Return whether the active version is confirmed."""
        if not self._confirmed:
            self._confirmed = version > 0 and self._has_evidence(version, now_s)
        return self._confirmed

    def _has_evidence(self, version: int, now_s: float) -> bool:
        if now_s - self._conflict_at_s < CONFLICT_WAIT_S:
            return False
        if (
            version < self._newest_peer_version
            and now_s - self._newest_received_at_s < NEWER_VERSION_WAIT_S
        ):
            return False
        if 0 < self._confirmed_peer_version <= version:
            return True
        read_at_s = self._platform_read_at_s
        if self._paused_at_s is not None:
            has_contact = self._newest_peer_version > 0 or read_at_s is not None
            return has_contact or now_s - self._paused_at_s >= PAUSE_WAIT_S
        return read_at_s is not None and now_s - read_at_s >= PEER_REPLY_WAIT_S
