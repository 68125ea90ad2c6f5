"""Tests of the validation of the configuration document."""

from __future__ import annotations

import msgspec
import pytest

from fighinge.errors import Failure
from fighinge.model import Document, decode_document
from tests.builders import raw_document


def test_valid_document_is_decoded():
    assert isinstance(decode_document(msgspec.json.encode(raw_document())), Document)


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        (("zones", "z1", "colour"), "red", "zones[...]"),
        (("services", "desk", "collection"), "x", "services.desk.collection"),
        (("services", "desk", "query_class"), "x", "services.desk.query_class"),
        (("backend_servers", "b0", "zone"), "x", "backend_servers.b0.zone"),
        (("backend_servers", "b0", "slots"), 0, "backend_servers[...].slots"),
    ],
)
def test_failure_names_the_invalid_field(path, value, field):
    raw = raw_document()
    target = raw
    for name in path[:-1]:
        target = target[name]
    target[path[-1]] = value
    failure = decode_document(msgspec.json.encode(raw))
    assert isinstance(failure, Failure)
    assert failure.field == field
