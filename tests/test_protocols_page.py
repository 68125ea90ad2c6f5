"""Tests that the protocol documentation agrees with the code."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from fighinge import messages, queries
from fighinge.configuration.base import ListedHost, Values
from fighinge.errors import ERROR_PROPERTIES, ErrorKind
from fighinge.model import Document, decode_document

PAGE = (Path(__file__).parents[1] / "docs" / "protocols.md").read_text(encoding="utf-8")
EXAMPLES = re.findall(r"<!-- (\S+) -->\n```json\n(.*?)```", PAGE, re.DOTALL)
ERROR_ROW = re.compile(r"^\| `(\w+)` \| (\d{3}) \| (yes|no) \| (yes|no) \| \S", re.MULTILINE)
OTHER_TYPES = {"Values": Values, "HostEntry[]": list[ListedHost], "Document": Document}


def _type_of(name: str):
    if name in OTHER_TYPES:
        return OTHER_TYPES[name]
    return getattr(queries, name, None) or getattr(messages, name)


@pytest.mark.parametrize(("name", "example"), EXAMPLES, ids=[name for name, _ in EXAMPLES])
def test_example_has_exactly_the_fields_of_its_type(name, example):
    decoded = msgspec.json.decode(example, type=_type_of(name))
    if isinstance(decoded, list):
        (decoded,) = decoded
    fields = msgspec.json.decode(example)
    fields = fields[0] if isinstance(fields, list) else fields
    assert set(fields) == set(decoded.__struct_fields__)


def test_configuration_example_is_valid():
    (example,) = [example for name, example in EXAMPLES if name == "Document"]
    assert isinstance(decode_document(example.encode()), Document)


def test_error_table_agrees_with_the_code():
    rows = {
        ErrorKind(kind): (int(status), resent == "yes", not_run == "yes")
        for kind, status, resent, not_run in ERROR_ROW.findall(PAGE)
    }
    assert rows == {
        kind: (properties.http_status, properties.may_resend, properties.not_run)
        for kind, properties in ERROR_PROPERTIES.items()
    }
