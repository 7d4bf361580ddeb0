"""The packet service: flows with their own handshake.

`Entry` and `Agent` are the two cores; ``docs/design/platform.md`` describes how they
share the work.
"""

from .agent import Agent
from .entry import Entry
from .features import Features
from .models import (
    Answer,
    Codec,
    Flag,
    Heartbeat,
    Links,
    Log,
    Packet,
    Route,
    Routes,
    ServiceShare,
    State,
    Urgency,
)
from .pacing import ColdLimit
from .target import Target

__all__ = [
    "Agent",
    "Answer",
    "Heartbeat",
    "Codec",
    "ColdLimit",
    "Entry",
    "Features",
    "Flag",
    "Links",
    "Log",
    "Packet",
    "Route",
    "Routes",
    "ServiceShare",
    "State",
    "Target",
    "Urgency",
]
