"""Encoding of cursors, which mark the start of the next page of results."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import msgspec
import xxhash

from fighinge.errors import ErrorKind, Failure
from fighinge.messages import PagePosition

if TYPE_CHECKING:
    from fighinge.queries import QueryRequest


class Cursor(msgspec.Struct, frozen=True, array_like=True):
    """The start of the next page, bound to the snapshot and search of the first page."""

    index_version: int
    after: PagePosition
    search_digest: str


def compute_search_digest(service: str, request: QueryRequest) -> str:
    """Return a digest of what must be equal in all pages of a search."""
    parts = (service, request.sort, str(request.descending))
    text = "\n".join(parts).encode() + b"\n" + bytes(request.filter)
    return xxhash.xxh3_64_hexdigest(text)


def encode_cursor(cursor: Cursor) -> str:
    """Encode a cursor as an opaque string."""
    return base64.urlsafe_b64encode(msgspec.json.encode(cursor)).decode()


def decode_cursor(text: str, search_digest: str) -> Cursor | Failure:
    """Decode a cursor.

    :param search_digest: digest of the search that the cursor must belong to
    :returns: the cursor, or a failure if it is malformed or belongs to another search
    """
    try:
        cursor = msgspec.json.decode(base64.urlsafe_b64decode(text), type=Cursor)
    except (ValueError, msgspec.DecodeError):
        return Failure(ErrorKind.BAD_REQUEST, "is not a valid cursor", "cursor")
    if cursor.search_digest != search_digest:
        reason = "belongs to a search with another service, filter or sort order"
        return Failure(ErrorKind.BAD_REQUEST, reason, "cursor")
    return cursor
