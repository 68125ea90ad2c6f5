"""Decoding of callers' requests, with an error for each invalid field."""

from __future__ import annotations

import re

import msgspec

from fighinge.errors import ErrorKind, Failure
from fighinge.queries import QueryRequest

MAX_REASON_CHARS = 200
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9_.:-]{1,64}")

_UNKNOWN_FIELD = re.compile(r"Object contains unknown field `(.*)`")
_request_decoder = msgspec.json.Decoder(QueryRequest)


class _RequestIdOnly(msgspec.Struct):
    """Decode only the identifier of an invalid request."""

    request_id: str = ""


_request_id_decoder = msgspec.json.Decoder(_RequestIdOnly)


def decode_request(body: bytes) -> QueryRequest | Failure:
    """Decode a request.

    :returns: the request, or a failure that names the invalid field
    """
    try:
        return _request_decoder.decode(body)
    except RecursionError:
        return Failure(ErrorKind.BAD_REQUEST, "the JSON is nested too deeply")
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _failure(str(error))


def decode_request_id(body: bytes) -> str:
    """Return the request identifier of an invalid request, or an empty string."""
    try:
        request_id = _request_id_decoder.decode(body).request_id
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return ""
    return request_id if REQUEST_ID_PATTERN.fullmatch(request_id) else ""


def _failure(message: str) -> Failure:
    reason, _found, path = message.partition(" - at `$")
    field = path.rstrip("`").lstrip(".")
    unknown = _UNKNOWN_FIELD.match(reason)
    if unknown:
        field = f"{field}.{unknown[1]}".lstrip(".")
        reason = "is not a field of a request"
    return Failure(ErrorKind.BAD_REQUEST, reason[:MAX_REASON_CHARS], field[:MAX_REASON_CHARS])
