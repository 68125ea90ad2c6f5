"""Reads callers' requests and tells what is wrong with those that cannot be read."""

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
    """The one field that is read of a request that is otherwise wrong."""

    request_id: str = ""


_request_id_decoder = msgspec.json.Decoder(_RequestIdOnly)


def decode_request(body: bytes) -> QueryRequest | Failure:
    """Return the request in a body, or a failure that names the field at fault."""
    try:
        return _request_decoder.decode(body)
    except RecursionError:
        return Failure(ErrorKind.BAD_REQUEST, "the JSON is nested too deeply")
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _failure(str(error))


def decode_request_id(body: bytes) -> str:
    """Return the request identifier of a wrong request, empty if it cannot be read."""
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
