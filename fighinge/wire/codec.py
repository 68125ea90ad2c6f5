"""Encoding of messages as frames of the gRPC stream between entry and aggregator."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fighinge.errors import ErrorKind
from fighinge.messages import GroupOutcome, GroupShards, GroupStatus, Search, SubQuery
from fighinge.wire import frames_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

EXCHANGE_SERVICE = "fighinge.wire.Aggregation"
EXCHANGE_METHOD = "Exchange"
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_OUTCOME_BYTES = 12 * 1024 * 1024  # fits in a frame beside FRAME_TARGET_BYTES of others
FRAME_TARGET_BYTES = 512 * 1024
KEEPALIVE_INTERVAL_MS = 10_000
KEEPALIVE_TIMEOUT_MS = 3_000
CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 1000),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_INTERVAL_MS // 2),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.max_send_message_length", MAX_FRAME_BYTES),
    ("grpc.max_receive_message_length", MAX_FRAME_BYTES),
)

_search_decoder = msgspec.json.Decoder(Search)
_outcome_decoder = msgspec.json.Decoder(GroupOutcome)
_statuses_decoder = msgspec.json.Decoder(list[GroupStatus])


def entry_frame(
    sub_queries: Iterable[frames_pb2.SubQuery], cancelled_calls: Iterable[int]
) -> frames_pb2.EntryFrame:
    """Return a frame that batches sub-queries and cancellations."""
    return frames_pb2.EntryFrame(sub_queries=sub_queries, cancelled_calls=cancelled_calls)


def aggregator_frame(
    outcomes: Iterable[frames_pb2.GroupOutcome],
    statuses: list[GroupStatus],
    *,
    closing: bool = False,
) -> frames_pb2.AggregatorFrame:
    """Return a frame with outcomes and changed group statuses.

    :param closing: whether the entry must send nothing more on this stream
    """
    return frames_pb2.AggregatorFrame(
        outcomes=outcomes,
        group_statuses_json=msgspec.json.encode(statuses) if statuses else b"",
        closing=closing,
    )


def encode_outcome(call: int, outcome: GroupOutcome) -> frames_pb2.GroupOutcome:
    """Return an encoded outcome with the number of the call that it answers.

    An outcome that exceeds ``MAX_OUTCOME_BYTES`` is replaced by a ``too_large`` error.
    """
    raw = msgspec.json.encode(outcome)
    if len(raw) > MAX_OUTCOME_BYTES:
        reason = f"the group's answer has more than {MAX_OUTCOME_BYTES} bytes"
        raw = msgspec.json.encode(outcome.with_results_failed(ErrorKind.TOO_LARGE, reason))
    return frames_pb2.GroupOutcome(call=call, outcome_json=raw)


def decode_outcome(message: frames_pb2.GroupOutcome) -> GroupOutcome:
    """Decode an outcome from a frame.

    :raises msgspec.DecodeError: if the JSON payload is invalid
    """
    return _outcome_decoder.decode(message.outcome_json)


def decode_statuses(frame: frames_pb2.AggregatorFrame) -> list[GroupStatus]:
    """Decode the group statuses from a frame.

    :raises msgspec.DecodeError: if the JSON payload is invalid
    """
    if not frame.group_statuses_json:
        return []
    return _statuses_decoder.decode(frame.group_statuses_json)


def decode_sub_query(message: frames_pb2.SubQuery) -> SubQuery:
    """Decode a sub-query from a frame.

    :raises msgspec.DecodeError: if the JSON payload is invalid
    """
    return SubQuery(
        call=message.call,
        request_id=message.request_id,
        service=message.service,
        collection=message.collection,
        index_version=message.index_version,
        query_class=message.query_class,
        tenant=message.tenant,
        groups=tuple(GroupShards(group.group, tuple(group.shards)) for group in message.groups),
        search=_search_decoder.decode(message.search_json),
        remaining_s=message.remaining_s,
        repeatable=message.repeatable,
        fingerprint=message.fingerprint,
        configuration_version=message.configuration_version,
        takeover=message.takeover,
        is_suspect=message.is_suspect,
    )


def encode_sub_query(sub_query: SubQuery) -> frames_pb2.SubQuery:
    """Encode a sub-query for a frame."""
    return frames_pb2.SubQuery(
        call=sub_query.call,
        request_id=sub_query.request_id,
        service=sub_query.service,
        collection=sub_query.collection,
        index_version=sub_query.index_version,
        query_class=sub_query.query_class,
        tenant=sub_query.tenant,
        groups=[
            frames_pb2.GroupShards(group=group.group, shards=group.shards)
            for group in sub_query.groups
        ],
        search_json=msgspec.json.encode(sub_query.search),
        remaining_s=sub_query.remaining_s,
        repeatable=sub_query.repeatable,
        fingerprint=sub_query.fingerprint,
        configuration_version=sub_query.configuration_version,
        takeover=sub_query.takeover,
        is_suspect=sub_query.is_suspect,
    )
