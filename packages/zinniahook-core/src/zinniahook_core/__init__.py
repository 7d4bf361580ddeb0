"""The decisions of zinniahook, without I/O.

Every core is a state machine: ``handle(now, event)`` returns effects that a
driver executes. Time and randomness are passed in.
"""

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
