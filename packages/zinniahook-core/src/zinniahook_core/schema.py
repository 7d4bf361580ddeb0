"""The settings of the configuration document: types, bounds and meaning.

The reader, the writer, the command language and the reference page all use
these tables and therefore agree.
"""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from .models import Address, Protocol

__all__ = [
    "CLASS_FIELDS_BY_NAME",
    "Field",
    "NAME_PATTERN",
    "OPERATOR_FIELDS_BY_NAME",
    "ROLLOUT_FIELDS_BY_NAME",
    "SERVICE_FIELDS_BY_NAME",
]

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
STAGES = ("instance", "data-centre", "all")
RISKY_NAMES = ("address", "data_centres", "drain", "idle", "protocol", "targets")


def _identity(value: Any) -> Any:
    return value


class Field(NamedTuple):
    """One setting; ``read`` raises ValueError if a value is invalid."""

    read: Callable[[Any], Any]
    write: Callable[[Any], Any]
    kind: str
    meaning: str
    required: bool = False


def _integer(low: int, high: int, meaning: str, required: bool = False) -> Field:
    def read(value: Any) -> int:
        if type(value) is not int:
            raise ValueError("must be a whole number")
        if not low <= value <= high:
            raise ValueError(f"must be from {low} to {high}, not {value}")
        return value

    return Field(read, _identity, f"whole number, {low} to {high}", meaning, required)


def _number(low: float, high: float, meaning: str) -> Field:
    def read(value: Any) -> float:
        if type(value) not in (int, float) or not math.isfinite(value):
            raise ValueError("must be a finite number")
        if not low <= value <= high:
            raise ValueError(f"must be from {low:g} to {high:g}, not {value}")
        return float(value)

    return Field(read, _identity, f"number, {low:g} to {high:g}", meaning)


def _read_boolean(value: Any) -> bool:
    if type(value) is not bool:
        raise ValueError("must be true or false")
    return value


def _read_address(value: Any) -> Address:
    if not isinstance(value, str):
        raise ValueError("must be an address such as '10.0.0.1:443'")
    address = Address.parse(value)
    ipaddress.ip_address(address.host)
    if address.port == 0:
        raise ValueError(f"must have a port other than 0, not {value!r}")
    return address


def _read_protocol(value: Any) -> Protocol:
    try:
        return Protocol(value)
    except ValueError:
        raise ValueError(f"must be 'quic' or 'udp', not {value!r}") from None


def _read_prefix(value: Any) -> str:
    if not isinstance(value, str) or not value.startswith("/"):
        raise ValueError("must be a path that starts with '/'")
    return value


def _strings(meaning: str, allowed: tuple[str, ...] = ()) -> Field:
    def read(value: Any) -> tuple[str, ...]:
        if not isinstance(value, list | tuple):
            raise ValueError("must be a list of texts")
        for item in value:
            if not isinstance(item, str) or not item:
                raise ValueError("must be a list of texts that aren't empty")
            if allowed and item not in allowed:
                raise ValueError(f"{item!r} must be one of {', '.join(allowed)}")
        return tuple(value)

    return Field(read, list, "list of texts", meaning)


CLASS_FIELDS_BY_NAME: Mapping[str, Field] = {
    "prefix": Field(
        _read_prefix,
        _identity,
        "path",
        "requests whose path starts with it",
        required=True,
    ),
    "slots": _integer(
        0, 64, "target slots that a request holds; 0: a long-lived stream"
    ),
    "share": _number(
        0.0, 1.0, "fraction of the slots reserved from long use by others"
    ),
    "limit": _integer(1, 1_000_000, "requests in progress at one target"),
    "queue": _integer(0, 65536, "requests that may wait at one target"),
    "deadline": _number(0.01, 86400.0, "longest wait for a slot, in seconds"),
}

SERVICE_FIELDS_BY_NAME: Mapping[str, Field] = {
    "number": _integer(1, 65535, "the service's id on the wire", required=True),
    "address": Field(
        _read_address, str, "address", "address that callers use", required=True
    ),
    "protocol": Field(
        _read_protocol, str, "'quic' or 'udp'", "protocol that callers use"
    ),
    "drain": _number(
        0.1, 604800.0, "seconds that a leaving target has to finish its work"
    ),
    "idle": _number(1.0, 86400.0, "seconds without a packet that end a UDP flow"),
    "targets": _strings("name patterns of the instances that may serve it"),
    "data_centres": _strings("data centres that may serve it; an empty list: all"),
}

OPERATOR_FIELDS_BY_NAME: Mapping[str, Field] = {
    "services": _strings(
        "name patterns of the services the operator may change and drain"
    ),
    "keys": Field(_read_boolean, _identity, "true or false", "may rotate keys"),
    "operators": Field(
        _read_boolean,
        _identity,
        "true or false",
        "may change operators and rollout rules",
    ),
}

ROLLOUT_FIELDS_BY_NAME: Mapping[str, Field] = {
    "stages": _strings("order in which a risky change is rolled out", STAGES),
    "pause": _number(0.0, 3600.0, "seconds a stage is watched"),
    "broken_flows": _number(
        0.0, 1.0, "share of dropped datagrams or unknown outcomes that stops a rollout"
    ),
    "risky": _strings("settings whose changes are rolled out in stages", RISKY_NAMES),
}
