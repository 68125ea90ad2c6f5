"""Tests of the platform's settings file."""

from __future__ import annotations

import msgspec
import pytest

from fighinge.errors import Failure
from fighinge.platform.settings import SETTINGS_VARIABLE, read_settings, settings_path

SETTINGS = {
    "node-name": "front-sa-east-1",
    "ip": "10.1.0.39",
    "zone": "sa-east",
    "region": "south-tx",
    "zones": {"sa-east": "south-tx"},
    "listen": {
        "front": "10.1.0.39:8226",
        "ready": "10.1.0.39:8227",
        "control": "10.1.0.39:8224",
        "directory": "10.1.0.39:8225",
    },
    "internal-port-range": [7740, 7755],
    "seeds": ["10.1.0.39:8224", "10.2.0.33:8224"],
    "bounds": {"grace-s": 6, "retry-budget-ratio": 0.2, "budget-slack": 56},
    "platform": {"address": "10.200.1.7:8229", "form": "read"},
    "new-field": True,
}


def _read(tmp_path, **changes):
    path = tmp_path / "node.json"
    raw = {name: value for name, value in (SETTINGS | changes).items() if value is not None}
    path.write_bytes(msgspec.json.encode(raw))
    return read_settings(path)


def test_valid_settings_are_read(tmp_path):
    settings = _read(tmp_path)
    assert settings.address == "10.1.0.39"
    assert settings.caller_port == 8226
    assert settings.gossip_port == 7740
    assert settings.seeds == ("10.1.0.39", "10.2.0.33")
    assert settings.retry_budget_slack == 56
    assert settings.platform_address == "10.200.1.7:8229"


@pytest.mark.parametrize(
    ("field", "value"),
    [("ip", None), ("ip", 5), ("listen", {}), ("internal-port-range", "7740"), ("platform", None)],
)
def test_invalid_settings_are_reported_with_the_field(tmp_path, field, value):
    failure = _read(tmp_path, **{field: value})
    assert isinstance(failure, Failure)
    assert field in failure.reason


def test_invalid_port_is_rejected(tmp_path):
    listen = SETTINGS["listen"] | {"front": "10.1.0.39:http"}
    assert isinstance(_read(tmp_path, listen=listen), Failure)


def test_missing_file_is_reported(tmp_path):
    failure = read_settings(tmp_path / "absent.json")
    assert isinstance(failure, Failure)
    assert "absent.json" in failure.field


def test_path_comes_from_the_environment(monkeypatch):
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    assert settings_path().field == SETTINGS_VARIABLE
    monkeypatch.setenv(SETTINGS_VARIABLE, "/etc/x.json")
    assert str(settings_path()) == "/etc/x.json"
