"""Settings of a process, read from an INI file and validated."""

from __future__ import annotations

import configparser
import inspect
import ipaddress
import re
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import msgspec

from fighinge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

MAX_SECONDS = 3600.0
SEED_SEPARATOR = ","
NAME_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}")


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of a process.

    ``address`` is the IP address of the host; ports are the same on every host. ``gossip_key`` is
    the shared secret that authenticates membership datagrams. ``gossip_seeds`` are hosts that a
    process contacts to join, in addition to those on the platform's host list. Callers cache
    entry addresses for ``keep_s`` seconds, and an entry that shuts down serves for as long.
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


class Setting(msgspec.Struct, frozen=True):
    """One key of the settings file; ``parse`` returns its value, or a failure with the reason."""

    section: str
    key: str
    field: str
    help: str
    parse: Callable[[str], object]


def read_settings(path: Path) -> Settings | Failure:
    """Read and validate a settings file.

    :returns: the settings, or a failure whose field names the file, section and key
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, configparser.Error, UnicodeDecodeError) as error:
        return Failure(ErrorKind.BAD_REQUEST, " ".join(str(error).split()), str(path))
    fields: dict[str, object] = {}
    for section in parser.sections():
        if all(setting.section != section for setting in SETTINGS):
            return Failure(ErrorKind.BAD_REQUEST, "is not a known section", f"{path}: [{section}]")
        for key, text in parser[section].items():
            failure = _read_value(path, section, key, text, fields)
            if failure is not None:
                return failure
    for setting in SETTINGS:
        if setting.field in REQUIRED_FIELDS and setting.field not in fields:
            return _failure(path, setting, "is missing")
    settings = Settings(**fields)
    return _check_ports(path, settings) or settings


def with_settings_help(command: Callable) -> Callable:
    """Add a list of the settings to the help text of a command."""
    summary, separator, parameters = inspect.cleandoc(command.__doc__).partition(":param")
    command.__doc__ = f"{summary.strip()}\n\n{settings_help()}\n\n{separator}{parameters}"
    return command


def settings_help() -> str:
    """Return the list of the settings for the help text of a command."""
    lines = ["Settings file (INI):", ""]
    for setting in SETTINGS:
        default = DEFAULTS.get(setting.field)
        shown = "required" if setting.field in REQUIRED_FIELDS else f"default {default!r}"
        lines.append(f"- [{setting.section}] {setting.key}: {setting.help}; {shown}")
    return "\n".join(lines)


def _read_value(
    path: Path, section: str, key: str, text: str, fields: dict[str, object]
) -> Failure | None:
    for setting in SETTINGS:
        if (setting.section, setting.key) != (section, key):
            continue
        value = setting.parse(text)
        if isinstance(value, Failure):
            return _failure(path, setting, f"is {text!r}, but {value.reason}")
        fields[setting.field] = value
        return None
    return Failure(ErrorKind.BAD_REQUEST, "is not a known setting", f"{path}: [{section}] {key}")


def _invalid(reason: str) -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, reason)


def _parse_port(text: str) -> int | Failure:
    if not (text.isascii() and text.isdecimal() and 1 <= int(text) <= 65535):
        return _invalid("must be a port number from 1 to 65535")
    return int(text)


def _parse_seconds(text: str) -> float | Failure:
    try:
        value = float(text)
    except ValueError:
        return _invalid("must be a number of seconds without a unit, such as 1.5")
    if not 0 <= value <= MAX_SECONDS:
        return _invalid(f"must be from 0 to {MAX_SECONDS:g} seconds")
    return value


def _parse_address(text: str) -> str | Failure:
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError:
        return _invalid("must be an IPv4 address such as 10.0.0.7")
    if address.is_unspecified or address.is_multicast:
        return _invalid("must be the address at which other hosts reach this one")
    return text


def _parse_addresses(text: str) -> tuple[str, ...] | Failure:
    addresses = tuple(_parse_address(part.strip()) for part in text.split(SEED_SEPARATOR))
    for address in addresses:
        if isinstance(address, Failure):
            return _invalid("must be a comma-separated list of IPv4 addresses")
    return addresses


def _parse_name(text: str) -> str | Failure:
    if not NAME_PATTERN.fullmatch(text):
        return _invalid("must consist of 1 to 64 letters, digits, dots, hyphens and underscores")
    return text


def _parse_url(text: str) -> str | Failure:
    try:
        url = urlsplit(text)
        valid = url.scheme == "http" and url.hostname and (url.port is None or url.port > 0)
    except ValueError:
        valid = False
    if not valid or url.path not in ("", "/") or url.query or url.fragment:
        return _invalid("must be an http URL without a path, such as http://10.0.0.9:8500")
    return text


def _parse_key(text: str) -> str | Failure:
    return text or _invalid("must not be empty")


def _parse_choice(*choices: str) -> Callable[[str], str | Failure]:
    def parse(text: str) -> str | Failure:
        return text if text in choices else _invalid(f"must be one of {', '.join(choices)}")

    return parse


def _check_ports(path: Path, settings: Settings) -> Failure | None:
    """Check that the listeners of a host, and the platform if it runs there, use distinct ports."""
    platform = urlsplit(settings.platform_url)
    seen = {platform.port: "the platform"} if platform.hostname == settings.address else {}
    for setting in SETTINGS:
        if setting.section != "ports":
            continue
        port = getattr(settings, setting.field)
        if port in seen:
            return _failure(path, setting, f"is {port}, which is already used by {seen[port]}")
        seen[port] = setting.key
    return None


def _failure(path: Path, setting: Setting, reason: str) -> Failure:
    field = f"{path}: [{setting.section}] {setting.key}"
    return Failure(ErrorKind.BAD_REQUEST, reason, field)


SETTINGS = (
    Setting("host", "address", "address", "IPv4 address of the host", _parse_address),
    Setting("host", "zone", "zone", "data centre of the host", _parse_name),
    Setting(
        "platform",
        "url",
        "platform_url",
        "URL of the platform that publishes the configuration and host list",
        _parse_url,
    ),
    Setting("ports", "entry", "entry_port", "TCP port of the entry for callers", _parse_port),
    Setting(
        "ports",
        "aggregator",
        "aggregator_port",
        "TCP port of the aggregator for entries",
        _parse_port,
    ),
    Setting(
        "ports",
        "entry_gossip",
        "entry_gossip_port",
        "UDP port of the entry for membership, and TCP port of its status and metrics",
        _parse_port,
    ),
    Setting(
        "ports",
        "aggregator_gossip",
        "aggregator_gossip_port",
        "UDP port of the aggregator for membership, and TCP port of its status and metrics",
        _parse_port,
    ),
    Setting(
        "gossip",
        "key",
        "gossip_key",
        "shared secret that authenticates membership datagrams",
        _parse_key,
    ),
    Setting(
        "gossip",
        "seeds",
        "gossip_seeds",
        "comma-separated IPv4 addresses of hosts to contact besides those on the host list",
        _parse_addresses,
    ),
    Setting(
        "stop",
        "keep_s",
        "keep_s",
        "seconds for which callers cache entry addresses and a stopping entry keeps serving",
        _parse_seconds,
    ),
    Setting(
        "log",
        "format",
        "log_format",
        "format of log lines: text or json",
        _parse_choice("text", "json"),
    ),
    Setting(
        "log",
        "level",
        "log_level",
        "lowest level that is logged: DEBUG, INFO, NOTICE, WARNING or ERROR",
        _parse_choice("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"),
    ),
    Setting(
        "aggregator",
        "policy",
        "aggregator_policy",
        "full, or plain: without hedging, cold starts and early refusal, for comparison",
        _parse_choice("full", "plain"),
    ),
)
DEFAULTS = {
    field.name: field.default
    for field in msgspec.structs.fields(Settings)
    if field.default is not msgspec.NODEFAULT
}
REQUIRED_FIELDS = frozenset(setting.field for setting in SETTINGS) - DEFAULTS.keys()
