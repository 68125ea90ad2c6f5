"""Tests of the evaluation of published bases and patches."""

from __future__ import annotations

import hashlib

import msgspec
import pytest

from fighinge.configuration.history import (
    BASE_KEY,
    PART_PREFIX,
    PATCH_PREFIX,
    Evaluation,
    apply_patch,
    evaluate,
)
from fighinge.errors import ErrorKind, Failure
from tests.builders import raw_document
from tests.fleets import base_values, zone_patch


def _encoded(value) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(value))


def _patch(applies_to, *operations) -> msgspec.Raw:
    return _encoded({"applies_to": applies_to, "operations": list(operations)})


def _published(*patches) -> dict[str, msgspec.Raw]:
    values = dict(base_values().values)
    for number, patch in enumerate(patches):
        values[f"{PATCH_PREFIX}{number:08d}"] = patch
    return values


EVACUATE_ZONE = {"op": "add", "path": "/zones/z1/in_service", "value": False}
RESTORE_ZONE = {"op": "add", "path": "/zones/z1/in_service", "value": True}


@pytest.mark.parametrize(
    ("patches", "version", "field"),
    [
        ([_patch(1, EVACUATE_ZONE)], 2, None),
        ([_patch(1, EVACUATE_ZONE), _patch(2, RESTORE_ZONE)], 3, None),
        ([_patch(2, EVACUATE_ZONE)], 1, "applies_to"),
        ([_patch(1, EVACUATE_ZONE), _patch(1, RESTORE_ZONE)], 2, "applies_to"),
        ([_patch(1, {"op": "remove", "path": "/zones/z9"})], 1, "operations"),
        ([_patch(1, {"op": "add", "path": "/zones/z1/colour", "value": 1})], 1, "zones[...]"),
        ([_patch(1, {"op": "jump"})], 1, "operations"),
        ([_encoded({"applies_to": 1, "operations": 7})], 1, "operations"),
        ([_encoded("no patch")], 1, ""),
        ([_patch(1, {"op": "jump"}), _patch(1, EVACUATE_ZONE)], 2, "operations"),
        ([_patch(0, EVACUATE_ZONE), _patch(1, EVACUATE_ZONE)], 2, None),
    ],
)
def test_only_valid_patches_to_the_current_version_are_accepted(patches, version, field):
    values = _published(*patches)
    evaluation = evaluate(values)
    assert evaluation.accepted.version == version
    assert [rejected.failure.field for rejected in evaluation.rejected] == (
        [field] if field is not None else []
    )
    assert all(rejected.failure.reason for rejected in evaluation.rejected)


def test_resuming_from_an_earlier_result_gives_the_same_result():
    patches = [
        _patch(1, EVACUATE_ZONE),
        _patch(7, EVACUATE_ZONE),
        _patch(2, RESTORE_ZONE),
        _patch(3, EVACUATE_ZONE),
    ]
    evaluation = None
    for count in range(len(patches) + 1):
        values = _published(*patches[:count])
        evaluation = evaluate(values, evaluation)
        assert evaluation == evaluate(values)


def test_patches_apply_in_order_of_publication():
    base = dict(base_values().values)
    first = {f"{PATCH_PREFIX}2": _patch(1, EVACUATE_ZONE)}
    second = {f"{PATCH_PREFIX}1": _patch(1, RESTORE_ZONE)}
    assert evaluate(base | first | second).accepted == evaluate(base | first).accepted


def test_republished_patch_is_evaluated_again():
    first = evaluate(_published(_patch(1, EVACUATE_ZONE), _patch(2, RESTORE_ZONE)))
    values = _published(_patch(5, EVACUATE_ZONE), _patch(1, RESTORE_ZONE))
    assert evaluate(values, first) == evaluate(values)


def test_new_base_skips_earlier_patches():
    values = _published(_patch(1, EVACUATE_ZONE), _patch(2, RESTORE_ZONE))
    values |= base_values(version=9).values
    values[f"{PATCH_PREFIX}00000009"] = _patch(9, EVACUATE_ZONE)
    evaluation = evaluate(values)
    assert (evaluation.accepted.version, evaluation.rejected) == (10, ())


@pytest.mark.parametrize(
    ("change", "kind"),
    [
        (lambda values: None, None),
        (lambda values: values.pop(f"{PART_PREFIX}4/1"), ErrorKind.NOT_READY),
        (lambda values: values.update({f"{PART_PREFIX}4/1": _encoded("old")}), ErrorKind.NOT_READY),
        (lambda values: values.update({f"{PART_PREFIX}4/1": _encoded(5)}), ErrorKind.BAD_REQUEST),
    ],
)
def test_base_in_parts_is_used_only_when_complete(change, kind):
    text = msgspec.json.encode(raw_document()).decode()
    middle = len(text) // 2
    keys = [f"{PART_PREFIX}4/0", f"{PART_PREFIX}4/1"]
    digest = hashlib.sha256(text.encode()).hexdigest()
    values = {
        BASE_KEY: _encoded({"version": 4, "parts": keys, "sha256": digest}),
        keys[0]: _encoded(text[:middle]),
        keys[1]: _encoded(text[middle:]),
    }
    change(values)
    result = evaluate(values)
    if kind is None:
        assert result.accepted.raw == text.encode()
    else:
        assert isinstance(result, Failure)
        assert result.kind is kind


def test_patch_with_missing_parts_delays_all_later_patches():
    operations = msgspec.json.encode([EVACUATE_ZONE]).decode()
    digest = hashlib.sha256(operations.encode()).hexdigest()
    in_parts = _encoded({"applies_to": 1, "parts": [f"{PART_PREFIX}2/0"], "sha256": digest})
    values = _published(in_parts, _patch(2, RESTORE_ZONE))
    waiting = evaluate(values)
    assert waiting.accepted.version == 1
    values[f"{PART_PREFIX}2/0"] = _encoded(operations)
    assert evaluate(values, waiting).accepted.version == 3


def test_patch_applies_to_an_accepted_base_and_evaluation_without_base_fails():
    accepted = evaluate(base_values().values).accepted
    raw = bytes(next(iter(zone_patch(1).values.values())))
    assert apply_patch(accepted, raw).version == 2
    assert isinstance(evaluate({}), Failure)
    assert isinstance(evaluate(base_values().values), Evaluation)
