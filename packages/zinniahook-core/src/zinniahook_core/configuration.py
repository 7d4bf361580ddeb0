"""The operators' configuration: a validated document, read and written as TOML.

Operators change a `Document`. A `Configuration` is one generation of it as the
daemons use it, together with the keys. A separate `KeyRing` holds the keys, so
that no document, diff or history entry can contain a secret.
"""

from __future__ import annotations

import fnmatch
import functools
import tomllib
import types
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from .codes import Code, ZinniahookError
from .models import Address, Configuration, Key, Protocol, RequestClass, Service
from .schema import (
    CLASS_FIELDS_BY_NAME,
    NAME_PATTERN,
    OPERATOR_FIELDS_BY_NAME,
    ROLLOUT_FIELDS_BY_NAME,
    SERVICE_FIELDS_BY_NAME,
    Field,
)

__all__ = [
    "ConfigurationError",
    "Difference",
    "Document",
    "KeyRing",
    "Operator",
    "Problem",
    "Rollout",
    "compile",
    "diff",
    "from_table",
    "parse",
    "render",
    "retire",
    "settings_by_key",
    "to_table",
    "validate",
]

MAX_CLASSES = 16
"""Request classes per service; each one needs a queue at every agent."""

SHARED_CLASSES_CACHE_SIZE = 1024
"""Number of different class mappings that services share."""


class Rollout(NamedTuple):
    """Rules for the rollout of a risky change.

    Changes of the settings named in ``risky`` are rolled out in stages. Each
    stage is watched for ``pause`` seconds. The change is rolled back if the
    share of dropped datagrams or of requests with an unknown outcome exceeds
    ``broken_flows``.
    """

    stages: tuple[str, ...] = ("instance", "data-centre", "all")
    pause: float = 10.0
    broken_flows: float = 0.001
    risky: tuple[str, ...] = ("targets", "data_centres")


class Operator(NamedTuple):
    """Permissions of the operator whose certificate carries ``name``.

    ``services`` are name patterns. ``keys`` allows key rotation. ``operators``
    allows changes of the operators and of the rollout rules.
    """

    name: str
    services: tuple[str, ...] = ()
    keys: bool = False
    operators: bool = False

    def may_change(self, service: str) -> bool:
        """Return whether the operator may change the service."""
        return any(fnmatch.fnmatchcase(service, item) for item in self.services)


class Document(NamedTuple):
    """The whole configuration without its secrets.

    ``retired_by_name`` holds the numbers of removed services. A number on the
    wire is never assigned to another service; otherwise a late packet of the
    old service would reach the new one. The removed service itself may be added
    again under its number.
    """

    services_by_name: Mapping[str, Service] = {}
    operators_by_name: Mapping[str, Operator] = {}
    rollout: Rollout = Rollout()
    retired_by_name: Mapping[str, int] = {}


class KeyRing(NamedTuple):
    """The keys of one generation; `Configuration` describes the fields."""

    flow_keys_by_number: Mapping[int, Key]
    tunnel_keys_by_number: Mapping[int, Key]
    flow_key: int
    tunnel_key: int


class Problem(NamedTuple):
    """One error in a document, at the dotted ``key``."""

    key: str
    reason: str
    code: Code = Code.CONFIGURATION_INVALID

    def __str__(self) -> str:
        return f"{self.key}: {self.reason} (code {int(self.code)})"


class Difference(NamedTuple):
    """One setting that differs; None means that it is absent."""

    key: str
    before: Any
    after: Any


class ConfigurationError(ZinniahookError):
    """An invalid document; ``problems`` lists every error."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("; ".join(map(str, problems)), problems[0].code)
        self.problems = problems


def parse(text: str) -> Document:
    """Read a TOML document and validate it.

    Raises
    ------
    ConfigurationError
        If the text isn't TOML or the document has problems.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError((Problem("document", str(error)),)) from None
    except RecursionError:
        problem = Problem("document", "nested too deeply")
        raise ConfigurationError((problem,)) from None
    document = from_table(table)
    problems = validate(document)
    if problems:
        raise ConfigurationError(problems)
    return document


def from_table(table: Mapping[str, Any]) -> Document:
    """Build a document from nested tables, as TOML or JSON gives them.

    Raises
    ------
    ConfigurationError
        If a key is unknown or missing or a value has the wrong type.
    """
    reader = _Reader()
    document = reader.document(table)
    if reader.problems:
        raise ConfigurationError(tuple(reader.problems))
    return document


def to_table(document: Document) -> dict[str, Any]:
    """Convert a document to nested tables of plain values, in a fixed order."""
    table: dict[str, Any] = {
        "rollout": _plain(document.rollout, ROLLOUT_FIELDS_BY_NAME),
        "operators": {
            name: _plain(operator, OPERATOR_FIELDS_BY_NAME)
            for name, operator in sorted(document.operators_by_name.items())
        },
        "services": {
            name: _service_table(service)
            for name, service in sorted(document.services_by_name.items())
        },
    }
    if document.retired_by_name:
        table["retired"] = dict(sorted(document.retired_by_name.items()))
    return table


def render(document: Document) -> str:
    """Return the document as TOML, from which `parse` returns an equal document."""
    # Agents never render, so they needn't load this module.
    import tomli_w

    return tomli_w.dumps(to_table(document))


def validate(
    document: Document, previous: Document | None = None
) -> tuple[Problem, ...]:
    """Return every problem of a document.

    Parameters
    ----------
    document
        The document to check.
    previous
        The document it replaces, if any. Service numbers must not change.
    """
    problems = list(_check_services(document))
    if previous is not None:
        problems.extend(_check_numbers(document, previous))
    return tuple(problems)


def compile(document: Document, generation: int, keys: KeyRing) -> Configuration:
    """Combine a valid document and its keys into a configuration for the daemons.

    Parameters
    ----------
    document : Document
        A document without problems.
    generation : int
        The number of the new generation.
    keys : KeyRing
        The keys of flows and tunnels, with the numbers of the two in use.

    Raises
    ------
    ConfigurationError
        If a key in use isn't in the ring.
    """
    if (
        keys.flow_key not in keys.flow_keys_by_number
        or keys.tunnel_key not in keys.tunnel_keys_by_number
    ):
        problem = Problem("keys", "the key in use is missing from the ring")
        raise ConfigurationError((problem,))
    return Configuration(
        generation,
        document.services_by_name,
        keys.flow_keys_by_number,
        keys.tunnel_keys_by_number,
        keys.flow_key,
        keys.tunnel_key,
    )


def diff(before: Document, after: Document) -> tuple[Difference, ...]:
    """Return the settings that differ between two documents, sorted by key."""
    old = settings_by_key(before)
    new = settings_by_key(after)
    keys = sorted(old.keys() | new.keys())
    return tuple(
        Difference(key, old.get(key), new.get(key))
        for key in keys
        if old.get(key) != new.get(key)
    )


def retire(document: Document, previous: Document) -> Document:
    """Return the document with the numbers of removed services retired."""
    numbers = {**_numbers_by_name(previous), **document.retired_by_name}
    services = document.services_by_name
    removed = {name: number for name, number in numbers.items() if name not in services}
    return document._replace(retired_by_name=removed)


def settings_by_key(document: Document) -> dict[str, Any]:
    """Return every setting of the document by its dotted key."""
    return dict(_leaves(to_table(document)))


def _plain(value: Any, fields: Mapping[str, Field]) -> dict[str, Any]:
    table = {}
    for name, field in fields.items():
        item = getattr(value, name)
        table[name] = field.write(item)
    return table


def _service_table(service: Service) -> dict[str, Any]:
    table = _plain(service, SERVICE_FIELDS_BY_NAME)
    if service.classes_by_name:
        table["classes"] = {
            name: _plain(item, CLASS_FIELDS_BY_NAME)
            for name, item in sorted(service.classes_by_name.items())
        }
    return table


def _leaves(table: Mapping[str, Any], prefix: str = "") -> Iterator[tuple[str, Any]]:
    for name, value in table.items():
        key = f"{prefix}{name}"
        if isinstance(value, Mapping):
            yield from _leaves(value, f"{key}.")
        else:
            yield key, value


class _Reader:
    """Reads a document from tables and collects every problem."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def document(self, table: Mapping[str, Any]) -> Document:
        for name in table.keys() - {"services", "operators", "rollout", "retired"}:
            self._fail(name, "unknown key")
        return Document(
            self._read_tables(table, "services", "", self._service),
            self._read_tables(table, "operators", "", self._operator),
            Rollout(
                **self._fields(
                    self._table(table, "rollout", ""), ROLLOUT_FIELDS_BY_NAME, "rollout"
                )
            ),
            self._retired(self._table(table, "retired", "")),
        )

    def _service(self, name: str, table: Mapping[str, Any], key: str) -> Service:
        classes = self._read_tables(table, "classes", f"{key}.", self._class)
        rest = {name: value for name, value in table.items() if name != "classes"}
        values = self._fields(rest, SERVICE_FIELDS_BY_NAME, key)
        values.setdefault("number", 0)
        values.setdefault("address", Address("0.0.0.0", 0))
        shared = _shared_classes(tuple(classes.values()))
        return Service(name, classes_by_name=shared, **values)

    def _class(self, name: str, table: Mapping[str, Any], key: str) -> RequestClass:
        values = self._fields(table, CLASS_FIELDS_BY_NAME, key)
        values.setdefault("prefix", "/")
        return RequestClass(name, **values)

    def _operator(self, name: str, table: Mapping[str, Any], key: str) -> Operator:
        return Operator(name, **self._fields(table, OPERATOR_FIELDS_BY_NAME, key))

    def _retired(self, table: Mapping[str, Any]) -> dict[str, int]:
        for name, number in table.items():
            if type(number) is not int:
                self._fail(f"retired.{name}", "must be a service number")
        return dict(table)

    def _read_tables(self, table, name, prefix, read) -> dict[str, Any]:
        items = {}
        for item, value in self._table(table, name, prefix).items():
            key = f"{prefix}{name}.{item}"
            if not NAME_PATTERN.fullmatch(item):
                self._fail(
                    key,
                    "the name must be 1 to 63 letters, digits, '-' or '_'",
                )
            elif not isinstance(value, Mapping):
                self._fail(key, "must be a table")
            else:
                items[item] = read(item, value, key)
        return items

    def _table(self, table, name, prefix) -> Mapping[str, Any]:
        value = table.get(name, {})
        if isinstance(value, Mapping):
            return value
        self._fail(f"{prefix}{name}", "must be a table")
        return {}

    def _fields(self, table, fields: Mapping[str, Field], key: str) -> dict[str, Any]:
        values = {}
        for name, value in table.items():
            field = fields.get(name)
            if field is None:
                self._fail(f"{key}.{name}", "unknown key")
                continue
            try:
                values[name] = field.read(value)
            except ValueError as error:
                self._fail(f"{key}.{name}", str(error))
        for name, field in fields.items():
            if field.required and name not in table:
                self._fail(f"{key}.{name}", "is missing")
        return values

    def _fail(self, key: str, reason: str) -> None:
        self.problems.append(Problem(key, reason))


@functools.lru_cache(SHARED_CLASSES_CACHE_SIZE)
def _shared_classes(classes: tuple[RequestClass, ...]) -> Mapping[str, RequestClass]:
    """Return one mapping for all services with equal classes.

    An entry holds every service, and most services use one of a few sets of
    classes. Separate copies would take two thirds of the memory of all services.
    """
    return types.MappingProxyType({each.name: each for each in classes})


def _check_services(document: Document) -> Iterator[Problem]:
    retired = set(document.retired_by_name.values())
    names_by_number: dict[int, str] = {}
    names_by_address: dict[Address, str] = {}
    for name, service in document.services_by_name.items():
        key = f"services.{name}"
        other = names_by_number.setdefault(service.number, name)
        if other != name:
            yield Problem(
                f"{key}.number", f"{service.number} is already used by {other}"
            )
        if service.number in retired:
            yield Problem(f"{key}.number", f"{service.number} is retired")
        if name in document.retired_by_name:
            yield Problem(f"retired.{name}", "is retired but also a service")
        other = names_by_address.setdefault(service.address, name)
        if other != name:
            yield Problem(
                f"{key}.address", f"{service.address} is already used by {other}"
            )
        yield from _check_classes(service, key)


def _check_classes(service: Service, key: str) -> Iterator[Problem]:
    classes = service.classes_by_name
    if classes and service.protocol is Protocol.UDP:
        yield Problem(f"{key}.classes", "a udp service can't have request classes")
    if len(classes) > MAX_CLASSES:
        yield Problem(f"{key}.classes", f"more than {MAX_CLASSES} classes")
    if sum(item.share for item in classes.values()) > 1.0 + 1e-9:
        yield Problem(f"{key}.classes", "the shares add up to more than 1")
    names_by_prefix: dict[str, str] = {}
    for name, item in classes.items():
        other = names_by_prefix.setdefault(item.prefix, name)
        if other != name:
            reason = f"{item.prefix!r} is already used by {other}"
            yield Problem(f"{key}.classes.{name}.prefix", reason)


def _check_numbers(document: Document, previous: Document) -> Iterator[Problem]:
    before = _numbers_by_name(previous)
    after = _numbers_by_name(document)
    for name, number in before.items():
        if name not in after:
            yield Problem(
                f"retired.{name}",
                f"must be {number}, the number of the removed service",
            )
        elif after[name] != number:
            # Open flows carry the number in their connection ids. Entries
            # would drop their packets as those of another service.
            key = "retired" if name in document.retired_by_name else "services"
            yield Problem(f"{key}.{name}.number", f"must stay {number}")


def _numbers_by_name(document: Document) -> dict[str, int]:
    services = document.services_by_name
    numbers = {name: service.number for name, service in services.items()}
    return {**document.retired_by_name, **numbers}
