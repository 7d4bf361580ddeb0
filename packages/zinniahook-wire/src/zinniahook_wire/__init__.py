"""Stored values, peer messages, tunnel datagrams and control stubs."""

from .documents import Manifest, Parts, Pointer
from .rosters import Daemon, Rosters, roster_from_json, roster_key, roster_to_json
from .tunnels import NO_ADDRESS, OVERHEAD, Tunnel, TunnelDatagram, TunnelKind
from .values import DocumentError

__all__ = [
    "NO_ADDRESS",
    "OVERHEAD",
    "Daemon",
    "DocumentError",
    "Manifest",
    "Parts",
    "Pointer",
    "Rosters",
    "Tunnel",
    "TunnelDatagram",
    "TunnelKind",
    "roster_from_json",
    "roster_key",
    "roster_to_json",
]
