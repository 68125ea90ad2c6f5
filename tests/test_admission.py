"""Tests of admission control and of the confirmation that it depends on."""

from __future__ import annotations

import pytest

from fighinge.admission import Admission
from fighinge.configuration.confirmation import PAUSE_WAIT_S, Confirmation
from fighinge.configuration.store import ConfigurationStore
from fighinge.errors import ErrorKind
from fighinge.pauses import PAUSE_THRESHOLD_S, SETTLE_S, PauseDetector
from tests.fleets import base_values, zone_patch


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.now_s


class StubConfigurationSync:
    """A configuration synchronisation that says whether the configuration is confirmed."""

    confirmed = True


@pytest.mark.parametrize(
    ("case", "kind"),
    [
        ("nothing wrong", None),
        ("no configuration", ErrorKind.NOT_READY),
        ("not confirmed", ErrorKind.NOT_READY),
        ("zone out", ErrorKind.ZONE_OUT),
        ("other zone out", None),
        ("stopping", ErrorKind.STOPPING),
        ("just paused", ErrorKind.NOT_READY),
        ("paused earlier", None),
        ("short pause", None),
    ],
)
def test_rejected_work_is_reported_as_not_run(case, kind):
    clock, store, sync = Clock(), ConfigurationStore(), StubConfigurationSync()
    pauses = PauseDetector(clock)
    admission = Admission("z1", store, sync, pauses, clock)
    if case != "no configuration":
        store.apply_published(base_values())
    sync.confirmed = case != "not confirmed"
    if "zone out" in case:
        store.apply_published(zone_patch(1, "z2" if case.startswith("other") else "z1"))
    admission.stopping = case == "stopping"
    if "paused" in case:
        clock.now_s += PAUSE_THRESHOLD_S + 0.1
    if case == "paused earlier":
        admission.refusal()
        clock.now_s += SETTLE_S
    if case == "short pause":
        clock.now_s += PAUSE_THRESHOLD_S
    refusal = admission.refusal()
    assert (refusal and refusal.kind) == kind
    assert refusal is None or refusal.properties.not_run


@pytest.mark.parametrize(
    ("source", "version", "after_s", "confirmed"),
    [
        ("none", 0, 0.5, False),
        ("none", 0, PAUSE_WAIT_S, True),
        ("peer", 3, 0.0, True),
        ("peer", 4, 0.5, False),
        ("platform", 0, 0.0, True),
    ],
)
def test_configuration_is_confirmed_again_after_a_pause(source, version, after_s, confirmed):
    confirmation = Confirmation()
    confirmation.record_peer_version(3, 1.0, confirmed=True)
    assert confirmation.is_confirmed(3, 1.0)
    confirmation.handle_pause(60.0)
    assert not confirmation.is_confirmed(3, 60.0)
    if source == "peer":
        confirmation.record_peer_version(version, 60.0, confirmed=False)
    if source == "platform":
        confirmation.record_platform_read(60.0)
    assert confirmation.is_confirmed(3, 60.0 + after_s) is confirmed
