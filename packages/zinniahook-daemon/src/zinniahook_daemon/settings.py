"""The settings file of a daemon: its model, parsing and validation.

The sections below are the only definition of the settings. The validation and the
reference for operators are derived from their fields.
"""

from __future__ import annotations

import enum
import ipaddress
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Annotated, Any, NamedTuple, get_args, get_type_hints

from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.models import Address

__all__ = [
    "Role",
    "Settings",
    "SettingsError",
    "load",
]


class Role(enum.StrEnum):
    """The role of a daemon."""

    ENTRY = "entry"
    AGENT = "agent"


class StoreSettings(NamedTuple):
    """Access to the platform's key-value service."""

    addresses: Annotated[tuple[Address, ...], "addresses of the key-value service"]
    timeout: Annotated[float, "seconds to wait for an answer"] = 2.0


class TunnelSettings(NamedTuple):
    """Datagrams between entries and agents."""

    address: Annotated[Address, "UDP address; port 0 picks a free one"]


class ControlSettings(NamedTuple):
    """Calls between daemons and from operators: gRPC with mutual TLS."""

    address: Annotated[Address, "TCP address; port 0 picks a free one"]
    certificate: Annotated[Path, "PEM file of this daemon's certificate"]
    key: Annotated[Path, "PEM file of its private key"]
    authority: Annotated[Path, "PEM file of the authority that signs the certificates"]
    parents: Annotated[
        tuple[Address, ...],
        "control addresses of the daemons to follow; empty: the daemons announced "
        "in the store, or with watchers 0 the store itself",
    ] = ()
    watchers: Annotated[
        int, "daemons per data centre that watch the store; 0: all of them"
    ] = 2
    fan_out: Annotated[int, "approximate number of daemons that follow each one"] = 8


class MetricsSettings(NamedTuple):
    """Export of counters and timings."""

    statsd: Annotated[
        Address | None, "UDP address of a statsd; none: values are only kept in memory"
    ] = None
    prefix: Annotated[str, "first part of every name sent to statsd"] = "zinniahook"


class EntrySettings(NamedTuple):
    """Settings of an entry."""

    bind_host: Annotated[str, "replaces the host of the service addresses"] = ""
    drain: Annotated[float, "seconds to continue forwarding after SIGTERM"] = 1.0


class AgentSettings(NamedTuple):
    """Settings of an agent."""

    service: Annotated[str, "name of the service that the target serves"]
    target: Annotated[Address, "address that the target listens on"]
    certificate: Annotated[Path, "PEM file of the service's certificate"]
    key: Annotated[Path, "PEM file of its private key"]
    slots: Annotated[int, "requests that the target can run at a time"] = 4


class Settings(NamedTuple):
    """A complete settings file."""

    role: Annotated[Role, "entry or agent"]
    name: Annotated[str, "name of this instance, unique among all daemons"]
    data_centre: Annotated[str, "name of the data centre"]
    store: StoreSettings
    tunnel: TunnelSettings
    control: ControlSettings
    metrics: MetricsSettings = MetricsSettings()
    entry: EntrySettings = EntrySettings()
    agent: AgentSettings | None = None


class SettingsError(ZinniahookError):
    """The settings are invalid; the message is a single line for operators.

    Parameters
    ----------
    code : Code
        One of the 5xx codes.
    file : Path
        The settings file.
    key : str
        Dotted name of the setting, or empty if the file itself is invalid.
    reason : str
        What is wrong with the setting or the file.
    """

    def __init__(self, code: Code, file: Path, key: str, reason: str) -> None:
        location = f"{file}: {key}" if key else str(file)
        super().__init__(f"{location}: {reason} [{code.name} {code:d}]", code)
        self.file = file
        self.key = key
        self.reason = reason


class _Location(NamedTuple):
    """The location of a value, for error messages and as the base of paths."""

    file: Path
    key: str

    def child(self, name: str) -> _Location:
        """Return the location of a setting below this one."""
        return _Location(self.file, f"{self.key}.{name}" if self.key else name)

    def error(self, code: Code, reason: str) -> SettingsError:
        """Return an error about this location."""
        return SettingsError(code, self.file, self.key, reason)


Reader = Callable[[Any, _Location], Any]
_readers_by_type: dict[Any, Reader] = {}


def _register_reader(kind: Any) -> Callable[[Reader], Reader]:
    """Register the function that reads and checks TOML values for a type."""

    def register(reader: Reader) -> Reader:
        _readers_by_type[kind] = reader
        return reader

    return register


def load(file: Path) -> Settings:
    """Read and validate a settings file.

    Parameters
    ----------
    file : Path
        A TOML file. Paths in it are relative to its directory.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    SettingsError
        If the file can't be read, or a setting is unknown, missing, of the
        wrong type, not an address, or names a file that doesn't exist.
    """
    location = _Location(file, "")
    try:
        document = tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        reason = error.strerror or str(error)
        raise location.error(Code.SETTINGS_UNREADABLE, reason) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise location.error(Code.SETTINGS_UNREADABLE, f"not TOML: {error}") from None
    except RecursionError:
        raise location.error(Code.SETTINGS_UNREADABLE, "nested too deeply") from None
    settings = _read_section(Settings, document, location)
    if not settings.store.addresses:
        raise location.child("store.addresses").error(
            Code.SETTINGS_ADDRESS, "should hold at least one address"
        )
    if settings.entry.bind_host:
        _check_host(settings.entry.bind_host, location.child("entry.bind_host"))
    if not settings.control.fan_out:
        raise location.child("control.fan_out").error(
            Code.SETTINGS_TYPE, "should be at least 1"
        )
    if settings.role == Role.AGENT and settings.agent is None:
        raise location.child("agent").error(Code.SETTINGS_MISSING_KEY, "is missing")
    return settings


def _read_section(model: Any, table: Mapping[str, Any], location: _Location) -> Any:
    """Return the section that a table describes, checked against its fields."""
    types_by_name = get_type_hints(model)
    for name in table:
        if name not in types_by_name:
            raise location.child(name).error(
                Code.SETTINGS_UNKNOWN_KEY, "is not a known setting"
            )
    for name in model._fields:
        if name not in table and name not in model._field_defaults:
            raise location.child(name).error(Code.SETTINGS_MISSING_KEY, "is missing")
    values_by_name = {
        name: _read_value(types_by_name[name], value, location.child(name))
        for name, value in table.items()
    }
    return model(**values_by_name)


def _read_value(kind: Any, value: Any, location: _Location) -> Any:
    """Return a value, checked against the type of its field."""
    if type(None) in get_args(kind):
        kind = next(option for option in get_args(kind) if option is not type(None))
    if hasattr(kind, "_fields") and kind is not Address:
        if not isinstance(value, dict):
            raise location.error(Code.SETTINGS_TYPE, "should be a table")
        return _read_section(kind, value, location)
    return _readers_by_type[kind](value, location)


@_register_reader(str)
def _read_text(value: Any, location: _Location) -> str:
    if not isinstance(value, str):
        raise location.error(Code.SETTINGS_TYPE, "should be a string")
    return value


@_register_reader(Role)
def _read_role(value: Any, location: _Location) -> Role:
    try:
        return Role(value)
    except ValueError:
        reason = 'should be "entry" or "agent"'
        raise location.error(Code.SETTINGS_TYPE, reason) from None


@_register_reader(int)
def _read_integer(value: Any, location: _Location) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise location.error(
            Code.SETTINGS_TYPE, "should be a whole number of at least 0"
        )
    return value


@_register_reader(float)
def _read_number(value: Any, location: _Location) -> float:
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not 0 <= value < float("inf"):
        raise location.error(Code.SETTINGS_TYPE, "should be a number of at least 0")
    return float(value)


@_register_reader(Address)
def _read_address(value: Any, location: _Location) -> Address:
    if not isinstance(value, str):
        raise location.error(Code.SETTINGS_TYPE, 'should be a string "host:port"')
    try:
        address = Address.parse(value)
    except ValueError as error:
        raise location.error(Code.SETTINGS_ADDRESS, str(error)) from None
    _check_host(address.host, location)
    return address


def _check_host(host: str, location: _Location) -> None:
    """Reject a host name: resolving it would block the event loop."""
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise location.error(Code.SETTINGS_ADDRESS, str(error)) from None


@_register_reader(tuple[Address, ...])
def _read_addresses(value: Any, location: _Location) -> tuple[Address, ...]:
    if not isinstance(value, list):
        raise location.error(Code.SETTINGS_TYPE, "should be a list of addresses")
    return tuple(_read_address(address, location) for address in value)


@_register_reader(Path)
def _read_path(value: Any, location: _Location) -> Path:
    if not isinstance(value, str):
        raise location.error(Code.SETTINGS_TYPE, "should be the path of a file")
    path = location.file.parent / value
    try:
        found = path.is_file()
    except OSError as error:
        # A directory without access, or a name that is too long.
        reason = f"{error.strerror}: {path}"
        raise location.error(Code.SETTINGS_FILE_MISSING, reason) from None
    if not found:
        raise location.error(Code.SETTINGS_FILE_MISSING, f"no such file: {path}")
    return path
