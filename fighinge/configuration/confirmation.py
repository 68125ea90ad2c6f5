"""Whether a process may rely on the configuration version that it has."""

from __future__ import annotations

PEER_REPLY_WAIT_S = 1.0
NEWER_VERSION_WAIT_S = 5.0
CONFLICT_WAIT_S = 1.0
PAUSE_WAIT_S = 2.0


class Confirmation:
    """Collects what confirms the version in force, and tells once that is enough.

    Enough is a peer that relies on its own version, which must not be newer, or a fresh read
    of the platform after which no such peer answers for ``PEER_WAIT_S``. A newer version that
    a peer told of has ``NEWER_WAIT_S`` to arrive. Once confirmed, neither a newer version nor
    silence of platform and peers changes that, but a pause of this process does: then any peer
    or the platform has to be heard again, or ``PAUSE_WAIT_S`` to pass in silence.
    """

    __slots__ = (
        "_confirmed",
        "_confirmed_peer_version",
        "_conflict_s",
        "_newest_heard_s",
        "_newest_peer_version",
        "_paused_s",
        "_platform_read_s",
    )

    def __init__(self) -> None:
        self._confirmed = False
        self._conflict_s = -CONFLICT_WAIT_S
        self._newest_peer_version = 0
        self._newest_heard_s = 0.0
        self._paused_s: float | None = None
        self._confirmed_peer_version = 0
        self._platform_read_s: float | None = None

    def record_peer_version(self, version: int, now_s: float, *, confirmed: bool) -> None:
        """Take the version that a peer has in force.

        :param confirmed: whether the peer relies on it itself
        """
        if version >= self._newest_peer_version:
            self._newest_peer_version, self._newest_heard_s = version, now_s
        if confirmed:
            self._confirmed_peer_version = max(self._confirmed_peer_version, version)

    def record_conflict(self, now_s: float) -> None:
        """Note that a peer has another document of the same version."""
        self._conflict_s = now_s

    def record_platform_read(self, now_s: float) -> None:
        """Note a read of all that is published."""
        if self._platform_read_s is None:
            self._platform_read_s = now_s

    def handle_pause(self, now_s: float) -> None:
        """Ask for confirmation anew, after this process was paused."""
        if self._confirmed:
            self._confirmed = False
            self._paused_s = now_s
        self._confirmed_peer_version = 0
        self._newest_peer_version = 0
        self._platform_read_s = None

    def is_confirmed(self, version: int, now_s: float) -> bool:
        """Return whether the version in force may be relied on."""
        if not self._confirmed:
            self._confirmed = version > 0 and self._has_evidence(version, now_s)
        return self._confirmed

    def _has_evidence(self, version: int, now_s: float) -> bool:
        if now_s - self._conflict_s < CONFLICT_WAIT_S:
            return False
        if (
            version < self._newest_peer_version
            and now_s - self._newest_heard_s < NEWER_VERSION_WAIT_S
        ):
            return False
        if 0 < self._confirmed_peer_version <= version:
            return True
        read_s = self._platform_read_s
        if self._paused_s is not None:
            has_evidence = self._newest_peer_version > 0 or read_s is not None
            return has_evidence or now_s - self._paused_s >= PAUSE_WAIT_S
        return read_s is not None and now_s - read_s >= PEER_REPLY_WAIT_S
