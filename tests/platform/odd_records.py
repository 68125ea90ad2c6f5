"""Builders of backend servers' records, also of those that another writer left."""

from __future__ import annotations

import msgspec

SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "sa-east",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold-left-ms": 1500,
    "seq": 4,
    "born": 1764800000000,
}
DEEPLY_NESTED = b"[" * 2000 + b"]" * 2000
_PLACEHOLDER = "(replaced)"


def server_record(raw_fields: dict[str, bytes] | None = None, **changes: object) -> bytes:
    """Return a server's record as JSON.

    :param raw_fields: JSON that replaces the value of a field as it is
    :param changes: other values of fields, ``None`` for a missing field
    """
    fields = SERVER | changes | dict.fromkeys(raw_fields or {}, _PLACEHOLDER)
    raw = msgspec.json.encode({name: value for name, value in fields.items() if value is not None})
    for value in (raw_fields or {}).values():
        raw = raw.replace(msgspec.json.encode(_PLACEHOLDER), value, 1)
    return raw


_TOO_LARGE = (b"1e999", b"1" + b"0" * 30, b"1" + b"0" * 400, b"1" + b"0" * 5000)
UNUSABLE_SERVER_RECORDS = [
    server_record({"version": DEEPLY_NESTED}),
    server_record({"unknown": DEEPLY_NESTED}),
    server_record({"service": DEEPLY_NESTED}),
    DEEPLY_NESTED,
    *(
        server_record({name: value})
        for name in ("slots", "seq", "born", "cold-left-ms")
        for value in _TOO_LARGE
    ),
    *(
        server_record(address=address)
        for address in (
            *("127.0.0.1:99999", "127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:-1"),
            *("127.0.0.1: 80", "127.0.0.1:8_0", "127.0.0.1:٨٠", "127.0.0.1:", "127.0.0.1"),
            *(
                "127.0.0.256:80",
                "host.example:80",
                "a b:80",
                "[::1]:80",
                "127.0.0.1:1" + 5000 * "0",
            ),
        )
    ),
]
