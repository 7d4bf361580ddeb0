"""Encodes requests to the store and decodes its answers, in their JSON form.

Functions that decode raise `StoreError` if an answer has the wrong shape.
"""

from __future__ import annotations

import base64
from collections.abc import Iterator, Mapping
from typing import Any

from .gateway import MALFORMED_ANSWER_ERRORS, encode_key
from .outcomes import Item, StoreError

__all__ = [
    "BATCH_SIZE",
    "batches",
    "first_conflict",
    "parse_integer",
    "items_of",
    "put_request",
    "read_request",
    "responses_of",
    "revision_of",
]

BATCH_SIZE = 100
BATCH_BYTES = 1_000_000
"""Limits of one transaction: number of operations, and bytes of their values."""


def first_conflict(
    answer: dict[str, Any], revisions_by_key: Mapping[str, int]
) -> Item | None:
    """Return the item of the first key whose revision differs from the expected one.

    None if that key doesn't exist or all revisions are as expected.
    """
    responses = responses_of(answer, len(revisions_by_key))
    for response, revision in zip(responses, revisions_by_key.values(), strict=True):
        item = next(items_of(response), None)
        if (item.revision if item else 0) != revision:
            return item
    return None


def responses_of(answer: dict[str, Any], count: int) -> list[dict[str, Any]]:
    """Return the answers to the reads of a transaction."""
    try:
        responses = [item["response_range"] for item in answer["responses"]]
    except MALFORMED_ANSWER_ERRORS:
        raise StoreError("the store's answer has the wrong shape") from None
    if len(responses) != count:
        raise StoreError("the store's answer is incomplete")
    return responses


def batches(values_by_key: Mapping[str, bytes]) -> Iterator[dict[str, bytes]]:
    """Split values into batches that each fit into one transaction."""
    batch: dict[str, bytes] = {}
    size = 0
    for key, value in values_by_key.items():
        if batch and (len(batch) >= BATCH_SIZE or size + len(value) > BATCH_BYTES):
            yield batch
            batch, size = {}, 0
        batch[key] = value
        size += len(value)
    if batch:
        yield batch


def put_request(key: str, value: bytes, lease: int) -> dict[str, Any]:
    """Encode the write of a value, attached to a lease unless ``lease`` is 0."""
    body = {"key": encode_key(key), "value": base64.b64encode(value).decode()}
    if lease:
        body["lease"] = str(lease)
    return body


def read_request(key: str) -> dict[str, Any]:
    """Encode the read of one key within a transaction."""
    return {"request_range": {"key": encode_key(key)}}


def items_of(answer: dict[str, Any]) -> Iterator[Item]:
    """Yield the items of an answer."""
    try:
        for value in answer.get("kvs", ()):
            yield Item(
                base64.b64decode(value["key"], validate=True).decode(),
                base64.b64decode(value.get("value", ""), validate=True),
                int(value["mod_revision"]),
            )
    except MALFORMED_ANSWER_ERRORS:
        raise StoreError("the store's answer has the wrong shape") from None


def revision_of(answer: dict[str, Any]) -> int:
    """Return the revision of the store from the header of an answer."""
    return parse_integer(answer.get("header"), "revision")


def parse_integer(fields: Any, name: str) -> int:
    """Return an integer field, which the JSON form encodes as a string."""
    try:
        return int(fields[name])
    except MALFORMED_ANSWER_ERRORS:
        raise StoreError(f"the store's answer has no {name}") from None
