"""Messages, tunnel datagrams and control stubs."""

from .tunnels import NO_ADDRESS, OVERHEAD, Tunnel, TunnelDatagram, TunnelKind

__all__ = ["NO_ADDRESS", "OVERHEAD", "Tunnel", "TunnelDatagram", "TunnelKind"]
