"""The decision logic of zinniahook, without I/O.

Every core is a state machine: ``handle(now, event)`` returns the effects that a
driver executes. Time and randomness are passed in.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .agents import AgentCore
    from .codes import Code, Failure, Outcome, OutcomeKind, ZinniahookError
    from .entries import EntryCore
    from .models import (
        Address,
        AgentState,
        Configuration,
        Key,
        Load,
        Member,
        Protocol,
        RequestClass,
        Roster,
        Service,
    )

__all__ = [
    "Address",
    "AgentCore",
    "AgentState",
    "Code",
    "Configuration",
    "EntryCore",
    "Failure",
    "Key",
    "Load",
    "Member",
    "Outcome",
    "OutcomeKind",
    "Protocol",
    "RequestClass",
    "Roster",
    "Service",
    "ZinniahookError",
]

_MODULES_BY_NAME = {
    "AgentCore": "agents",
    "EntryCore": "entries",
    **dict.fromkeys(
        ("Code", "Failure", "Outcome", "OutcomeKind", "ZinniahookError"), "codes"
    ),
}


def __getattr__(name: str) -> Any:
    """Import a re-exported name when it is first used.

    Otherwise a process that serves only packets would load the QUIC code with
    its cryptography, which takes 0.1 s and 12 MB, and would start that much
    later after every restart.
    """
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(
        f".{_MODULES_BY_NAME.get(name, 'models')}", __name__
    )
    return getattr(module, name)
