"""Reports in a status on a target's answers and on its capacity."""

from __future__ import annotations

import math
import struct
from typing import NamedTuple

__all__ = [
    "HealthReport",
    "RouteRow",
    "decode_cold",
    "decode_health",
    "encode_cold",
    "encode_health",
]

HEAD_FORMAT = struct.Struct("!BB")
ROW_FORMAT = struct.Struct("!HBBB")
MAX_BYTE = 255
COUNT_SCALE = 6
MIN_TIME_SECONDS = 0.0001
TIME_STEPS_PER_DOUBLING = 16
"""Steps of an encoded time for each doubling."""

COLD_SCALE = 25


class RouteRow(NamedTuple):
    """The answers on one route at one target.

    ``tag`` is the tag of the route's address, ``answer_time`` the mean of the times of
    good answers, 0 if there were none.
    """

    tag: int
    total: float
    bad: float
    answer_time: float


class HealthReport(NamedTuple):
    """How a target answers.

    ``trust`` is the share of the usual openings that it should get: 1 as a rule, a
    probe share if it is ejected. ``failing`` is the share of requests that it failed
    when it was ejected.
    """

    trust: float
    failing: float
    rows: tuple[RouteRow, ...] = ()


def encode_health(report: HealthReport) -> bytes:
    """Return a report as a section: 2 bytes, and 5 for each route."""
    trust, failing = (round(min(1.0, s) * MAX_BYTE) for s in report[:2])
    return HEAD_FORMAT.pack(trust, failing) + b"".join(
        ROW_FORMAT.pack(
            row.tag,
            min(MAX_BYTE, round(row.total * COUNT_SCALE)),
            min(MAX_BYTE, round(row.bad * COUNT_SCALE)),
            _packed_time(row.answer_time),
        )
        for row in report.rows
    )


def decode_health(body: bytes) -> HealthReport | None:
    """Decode a report; None if it is malformed."""
    if len(body) < HEAD_FORMAT.size or (len(body) - HEAD_FORMAT.size) % ROW_FORMAT.size:
        return None
    trust, failing = HEAD_FORMAT.unpack_from(body)
    rows = tuple(
        RouteRow(tag, total / COUNT_SCALE, bad / COUNT_SCALE, _time(packed))
        for tag, total, bad, packed in ROW_FORMAT.iter_unpack(body[HEAD_FORMAT.size :])
    )
    return HealthReport(trust / MAX_BYTE, failing / MAX_BYTE, rows)


def encode_cold(factor: float) -> bytes:
    """Return a target's slowdown while it is cold as a section: 1 byte."""
    return bytes((min(MAX_BYTE, round(factor * COLD_SCALE)),))


def decode_cold(body: bytes) -> float | None:
    """Decode the slowdown; None if it is malformed."""
    return body[0] / COLD_SCALE if len(body) == 1 and body[0] else None


def _packed_time(seconds: float) -> int:
    if seconds <= 0:
        return 0
    steps = round(
        TIME_STEPS_PER_DOUBLING
        * math.log2(max(seconds, MIN_TIME_SECONDS) / MIN_TIME_SECONDS)
    )
    return int(min(MAX_BYTE, 1 + steps))


def _time(packed: int) -> float:
    return (
        float(MIN_TIME_SECONDS * 2.0 ** ((packed - 1) / TIME_STEPS_PER_DOUBLING))
        if packed
        else 0.0
    )
