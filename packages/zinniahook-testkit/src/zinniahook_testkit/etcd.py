"""The JSON encoding of etcd v3, as the store's stand-in reads and writes it."""

from __future__ import annotations

import base64
from typing import Any

from .keyspaces import Compare, Event, Version

__all__ = [
    "VALUE_LIMIT",
    "compare_of",
    "event_of",
    "put_of",
    "span_of",
    "stored",
    "written_keys",
]

VALUE_LIMIT = 1_048_576
"""Largest value that the service accepts, in bytes."""


def decode(text: str | None) -> bytes:
    """Decode a key or value of the JSON form."""
    return base64.b64decode(text or "")


def encode(data: bytes) -> str:
    """Encode a key or value for the JSON form."""
    return base64.b64encode(data).decode()


def span_of(body: dict[str, Any]) -> tuple[bytes, bytes]:
    """Return start and end of the range that a request names."""
    return decode(body.get("key")), decode(body.get("range_end"))


def put_of(body: dict[str, Any]) -> tuple[bytes, bytes, int]:
    """Return key, value and lease of a put."""
    value = decode(body.get("value"))
    if len(value) > VALUE_LIMIT:
        raise ValueError("etcdserver: request is too large")
    return decode(body["key"]), value, int(body.get("lease", 0))


def compare_of(body: dict[str, Any]) -> Compare:
    """Return the condition of a transaction."""
    target = body.get("target", "VERSION")
    operand: int | bytes
    if target == "VALUE":
        operand = decode(body.get("value"))
    else:
        names = {"MOD": "mod_revision", "CREATE": "create_revision"}
        operand = int(body.get(names.get(target, target.lower()), 0))
    return Compare(decode(body["key"]), target, body.get("result", "EQUAL"), operand)


def written_keys(body: dict[str, Any]) -> list[bytes]:
    """Return the keys that a call would write."""
    if "key" in body:
        return [decode(body["key"])]
    return [
        decode(item["request_put"]["key"])
        for item in body.get("success", ())
        if "request_put" in item
    ]


def stored(key: bytes, version: Version, with_value: bool = True) -> dict[str, Any]:
    """Return the JSON form of a stored value."""
    stored = {
        "key": encode(key),
        "create_revision": str(version.created),
        "mod_revision": str(version.revision),
        "version": str(version.number),
    }
    if with_value and version.value:
        stored["value"] = encode(version.value)
    if version.lease:
        stored["lease"] = str(version.lease)
    return stored


def event_of(event: Event) -> dict[str, Any]:
    """Return the JSON form of an event."""
    if event.version.value is not None:
        return {"kv": stored(*event)}
    revision = str(event.version.revision)
    return {
        "type": "DELETE",
        "kv": {"key": encode(event.key), "mod_revision": revision},
    }
