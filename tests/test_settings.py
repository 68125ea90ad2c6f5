"""Tests of the validation of the settings file."""

from __future__ import annotations

import pytest

from fighinge.errors import Failure
from fighinge.settings import SETTINGS, Settings, read_settings, settings_help

VALID = "[host]\naddress = 10.0.0.7\nzone = sa-1\n[platform]\nurl = http://10.0.0.9:8500\n"


def _read(tmp_path, text):
    path = tmp_path / "host.ini"
    path.write_text(text, encoding="utf-8")
    return read_settings(path)


def test_valid_file_is_read(tmp_path):
    settings = _read(
        tmp_path, VALID + "[stop]\nkeep_s = 2.5\n[gossip]\nseeds = 10.0.0.1, 10.0.0.2\n"
    )
    assert settings == Settings(
        address="10.0.0.7",
        zone="sa-1",
        platform_url="http://10.0.0.9:8500",
        keep_s=2.5,
        gossip_seeds=("10.0.0.1", "10.0.0.2"),
    )


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("", "[host] address"),
        (VALID.replace("zone = sa-1\n", ""), "[host] zone"),
        (VALID.replace("sa-1", "sa 1"), "[host] zone"),
        (VALID.replace("10.0.0.7", "localhost"), "[host] address"),
        (VALID.replace("10.0.0.7", "0.0.0.0"), "[host] address"),
        (VALID.replace("http://", "ftp://"), "[platform] url"),
        (VALID.replace(":8500", ":99999"), "[platform] url"),
        (VALID.replace(":8500", ":8500/v1"), "[platform] url"),
        (VALID + "[hosts]\n", "[hosts]"),
        (VALID + "[DEFAULT]\nzone = x\n", "[DEFAULT]"),
        (VALID + "[log]\ncolour = red\n", "[log] colour"),
        (VALID + "[log]\nformat = xml\n", "[log] format"),
        (VALID + "[log]\nlevel = info\n", "[log] level"),
        (VALID + "[stop]\nkeep_s = 10s\n", "[stop] keep_s"),
        (VALID + "[stop]\nkeep_s = -1\n", "[stop] keep_s"),
        (VALID + "[stop]\nkeep_s = nan\n", "[stop] keep_s"),
        (VALID + "[stop]\nkeep_ms = 10\n", "[stop] keep_ms"),
        (VALID + "[gossip]\nseeds = 10.0.0.1,\n", "[gossip] seeds"),
        (VALID + "[gossip]\nkey =\n", "[gossip] key"),
        (VALID + "[aggregator]\npolicy = none\n", "[aggregator] policy"),
        (VALID + "[ports]\nentry = 0\n", "[ports] entry"),
        (VALID + "[ports]\nentry = 80 80\n", "[ports] entry"),
        (VALID + "[ports]\nentry = 8090\n", "[ports] aggregator"),
        (VALID.replace("0.9:8500", "0.7:8070"), "[ports] entry_gossip"),
    ],
)
def test_failure_names_file_section_and_key(tmp_path, text, field):
    failure = _read(tmp_path, text)
    assert isinstance(failure, Failure), failure
    assert failure.field == f"{tmp_path / 'host.ini'}: {field}"


@pytest.mark.parametrize("text", ["no section\n", VALID + VALID, "[host\n"])
def test_failure_names_the_malformed_file(tmp_path, text):
    assert _read(tmp_path, text).field == str(tmp_path / "host.ini")


def test_failure_names_the_missing_file(tmp_path):
    assert read_settings(tmp_path / "none.ini").field == str(tmp_path / "none.ini")


def test_help_lists_every_setting_and_default():
    text = settings_help()
    assert all(f"[{setting.section}] {setting.key}: " in text for setting in SETTINGS)
    assert "default 8080" in text
    assert {setting.field for setting in SETTINGS} == set(Settings.__struct_fields__)
