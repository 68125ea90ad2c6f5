"""Tests of the platform's settings file."""

from __future__ import annotations

import msgspec
import pytest

from fighinge.errors import Failure
from fighinge.platform.settings import SETTINGS_VARIABLE, read_settings, settings_path
from tests.platform.odd_records import DEEPLY_NESTED

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


@pytest.mark.parametrize("port", ["http", "", "0", "65536", "9" * 5000, "-1", "²", "8_0", " 80"])
@pytest.mark.parametrize("field", ["front", "ready", "control", "directory"])
def test_invalid_port_is_reported_with_the_field(tmp_path, field, port):
    listen = SETTINGS["listen"] | {field: f"10.1.0.39:{port}"}
    failure = _read(tmp_path, listen=listen)
    assert isinstance(failure, Failure)
    assert f"listen.{field}" in failure.reason


@pytest.mark.parametrize(
    ("section", "field", "value"),
    [
        ("bounds", "budget-window-s", 0),
        ("bounds", "budget-window-s", -1),
        ("bounds", "retry-budget-ratio", 1e300),
        ("bounds", "grace-s", -1),
        ("limits", "cpu-share", 0),
    ],
)
def test_number_beyond_its_bound_is_reported_with_the_field(tmp_path, section, field, value):
    failure = _read(tmp_path, **{section: {field: value}})
    assert isinstance(failure, Failure)
    assert field in failure.reason


# Such a field ended the router at its start, and in the poll of the settings later on.
@pytest.mark.parametrize("field", ["unknown", "node-name", "limits"])
def test_deeply_nested_settings_are_reported(tmp_path, field):
    path = tmp_path / "node.json"
    raw = msgspec.json.encode(SETTINGS | {field: "(replaced)"})
    path.write_bytes(raw.replace(b'"(replaced)"', DEEPLY_NESTED))
    failure = read_settings(path)
    assert isinstance(failure, Failure)
    assert failure.field == str(path) and failure.reason


def test_missing_file_is_reported(tmp_path):
    failure = read_settings(tmp_path / "absent.json")
    assert isinstance(failure, Failure)
    assert "absent.json" in failure.field


def test_path_comes_from_the_environment(monkeypatch):
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    assert settings_path().field == SETTINGS_VARIABLE
    monkeypatch.setenv(SETTINGS_VARIABLE, "/etc/x.json")
    assert str(settings_path()) == "/etc/x.json"
