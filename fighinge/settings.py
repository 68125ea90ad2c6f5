"""Settings of a process, read from an INI file and checked value by value."""

from __future__ import annotations

import configparser
import ipaddress
from typing import TYPE_CHECKING

import msgspec

from fighinge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from pathlib import Path

Port = int


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """What a process learns from its settings file.

    ``address`` is the host's own IP number; ports are the same on every host. ``gossip_key``
    is a secret that the fleet's datagrams are checked with, ``gossip_seeds`` are hosts to ask
    beside those on the platform's list. Callers keep an answer on which
    entries to use for ``keep_s``, and a stopping process serves on for as long.
    """

    address: str
    zone: str
    platform_url: str
    entry_port: int = 8080
    aggregator_port: int = 8090
    entry_gossip_port: int = 8070
    aggregator_gossip_port: int = 8071
    gossip_key: str = ""
    gossip_seeds: tuple[str, ...] = ()
    keep_s: float = 10.0
    log_format: str = "text"
    log_level: str = "INFO"
    aggregator_policy: str = "full"


SECTIONS: dict[str, dict[str, str]] = {
    "host": {"address": "address", "zone": "zone"},
    "platform": {"url": "platform_url"},
    "ports": {
        "entry": "entry_port",
        "aggregator": "aggregator_port",
        "entry_gossip": "entry_gossip_port",
        "aggregator_gossip": "aggregator_gossip_port",
    },
    "gossip": {"key": "gossip_key", "seeds": "gossip_seeds"},
    "stop": {"keep_s": "keep_s"},
    "log": {"format": "log_format", "level": "log_level"},
    "aggregator": {"policy": "aggregator_policy"},
}
REQUIRED = (("host", "address"), ("host", "zone"), ("platform", "url"))
AGGREGATOR_POLICIES = ("full", "plain")
LOG_FORMATS = ("text", "json")
LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR")
CHOICES = {
    "log_format": LOG_FORMATS,
    "log_level": LOG_LEVELS,
    "aggregator_policy": AGGREGATOR_POLICIES,
}


def read_settings(path: Path) -> Settings | Failure:
    """Read and check a settings file.

    :returns: the settings, or a failure that names file, section and key
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, configparser.Error, UnicodeDecodeError) as error:
        return Failure(ErrorKind.BAD_REQUEST, str(error), str(path))
    fields: dict[str, object] = {}
    for section in parser.sections():
        for key, text in parser[section].items():
            name = SECTIONS.get(section, {}).get(key)
            if name is None:
                return _failure(path, section, key, "is not a setting")
            value = _value(name, text)
            if value is None:
                return _failure(path, section, key, f"cannot be {text!r}")
            fields[name] = value
    for section, key in REQUIRED:
        if SECTIONS[section][key] not in fields:
            return _failure(path, section, key, "is missing")
    settings = Settings(**fields)
    return _check_ports(path, settings) or settings


def _value(name: str, text: str) -> object | None:
    if name.endswith("_port"):
        return int(text) if text.isdecimal() and 1 <= int(text) <= 65535 else None
    if name == "gossip_seeds":
        return _hosts(text)
    if name == "keep_s":
        return _seconds(text)
    if name == "address":
        return text if _is_ip(text) else None
    if name == "platform_url":
        return text if text.startswith("http://") else None
    if name in CHOICES:
        return text if text in CHOICES[name] else None
    return text or None


def _hosts(text: str) -> tuple[str, ...] | None:
    hosts = tuple(host.strip() for host in text.split(","))
    return hosts if all(_is_ip(host) for host in hosts) else None


def _seconds(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value <= 3600 else None


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _check_ports(path: Path, settings: Settings) -> Failure | None:
    seen: dict[int, str] = {}
    for key, name in SECTIONS["ports"].items():
        port = getattr(settings, name)
        if port in seen:
            return _failure(path, "ports", key, f"is {port}, which {seen[port]} has already")
        seen[port] = key
    return None


def _failure(path: Path, section: str, key: str, reason: str) -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, reason, f"{path}: [{section}] {key}")
