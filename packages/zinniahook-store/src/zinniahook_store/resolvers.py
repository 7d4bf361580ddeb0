"""Resolves the store's endpoints, without a thread for IP addresses."""

from __future__ import annotations

import socket
from typing import Any

from tornado.netutil import DefaultLoopResolver, is_valid_ip

__all__ = ["AddressResolver"]


class AddressResolver(DefaultLoopResolver):
    """Resolves names in the loop's threads, and IP addresses immediately.

    If IP addresses also used the threads, a call to a healthy endpoint could time out
    while resolving, on a busy instance or while other work occupies the threads.
    """

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the addresses of a host, as pairs of family and address."""
        if is_valid_ip(host):
            literal = socket.AF_INET6 if ":" in host else socket.AF_INET
            return [(literal, (host, port))]
        return await super().resolve(host, port, family)
