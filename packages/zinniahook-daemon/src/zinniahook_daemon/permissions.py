"""What the holder of a certificate may ask a daemon for.

Every certificate of the authority may ask for the status. Those of operators,
whom the configuration names, get nothing secret; with operators named, only
they may drain.
"""

from __future__ import annotations

from collections.abc import Mapping
from fnmatch import fnmatchcase

from grpclib.server import Stream
from zinniahook_core.configuration import Operator

__all__ = ["common_name", "may_drain", "may_act_as_daemon"]

Operators = Mapping[str, Operator]


def common_name(stream: Stream) -> str:
    """Return the common name of the caller's certificate, or nothing."""
    certificate = stream.peer.cert() or {}
    for names in certificate.get("subject", ()):
        for key, value in names:
            if key == "commonName":
                return value
    return ""


def may_act_as_daemon(operators: Operators, name: str) -> bool:
    """Whether the configuration with its keys may go to ``name``.

    An operator's certificate lies on desks and laptops; with the keys, its
    finder could forge the tunnel's datagrams and every connection id.
    """
    return name not in operators


def may_drain(operators: Operators, name: str, service: str) -> bool:
    """Tell whether an operator may drain an agent or an entry.

    Parameters
    ----------
    operators : Operators
        Those of the configuration in force; without any everybody may.
    name : str
        The operator's name, from the certificate.
    service : str
        The agent's service; empty for an entry.
    """
    if not operators:
        return True
    operator = operators.get(name)
    return operator is not None and any(
        fnmatchcase(service, pattern) for pattern in operator.services
    )
