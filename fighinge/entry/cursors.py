"""Cursors: where the next page of an answer starts."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import msgspec
import xxhash

from fighinge.errors import ErrorKind, Failure
from fighinge.messages import After

if TYPE_CHECKING:
    from fighinge.queries import QueryRequest


class Cursor(msgspec.Struct, frozen=True, array_like=True):
    """Where the next page starts, pinned to the snapshot and the search of the first one."""

    index_version: int
    after: After
    search: str


def compute_search_digest(service: str, request: QueryRequest) -> str:
    """Return what all pages of one search have in common."""
    parts = (service, request.sort, str(request.descending))
    text = "\n".join(parts).encode() + b"\n" + bytes(request.filter)
    return xxhash.xxh3_64_hexdigest(text)


def encode_cursor(cursor: Cursor) -> str:
    """Return a cursor as an opaque string."""
    return base64.urlsafe_b64encode(msgspec.json.encode(cursor)).decode()


def decode_cursor(text: str, search: str) -> Cursor | Failure:
    """Return a cursor from its string, or a failure where it is none of this search."""
    try:
        cursor = msgspec.json.decode(base64.urlsafe_b64decode(text), type=Cursor)
    except (ValueError, msgspec.DecodeError):
        return Failure(ErrorKind.BAD_REQUEST, "is not a cursor of this system", "cursor")
    if cursor.search != search:
        reason = "belongs to another service, filter or order"
        return Failure(ErrorKind.BAD_REQUEST, reason, "cursor")
    return cursor
