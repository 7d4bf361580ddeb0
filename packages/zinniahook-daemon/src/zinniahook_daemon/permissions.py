"""Permissions of callers, by the common name of their certificate.

Every holder of a certificate of the authority may read the status. Operators are
named in the configuration and get no secrets. If any are named, only operators
may drain.
"""

from __future__ import annotations

from collections.abc import Mapping
from fnmatch import fnmatchcase

from grpclib.server import Stream
from zinniahook_core.configuration import Operator

__all__ = ["common_name", "may_drain", "may_act_as_daemon"]

Operators = Mapping[str, Operator]


def common_name(stream: Stream) -> str:
    """Return the common name of the caller's certificate; empty if it has none."""
    certificate = stream.peer.cert() or {}
    for names in certificate.get("subject", ()):
        for key, value in names:
            if key == "commonName":
                return value
    return ""


def may_act_as_daemon(operators: Operators, name: str) -> bool:
    """Return whether a caller may use the calls between daemons.

    These give access to the keys of the configuration. Operators are excluded, as
    their certificates are kept on laptops and may be stolen. With the keys, a thief
    could forge tunnel datagrams and connection IDs.
    """
    return name not in operators


def may_drain(operators: Operators, name: str, service: str) -> bool:
    """Return whether a caller may drain an agent or an entry.

    Parameters
    ----------
    operators : Operators
        The operators of the configuration in force. If there are none, every
        caller may drain.
    name : str
        The common name of the caller's certificate.
    service : str
        The agent's service; empty for an entry.
    """
    if not operators:
        return True
    operator = operators.get(name)
    return operator is not None and any(
        fnmatchcase(service, pattern) for pattern in operator.services
    )
