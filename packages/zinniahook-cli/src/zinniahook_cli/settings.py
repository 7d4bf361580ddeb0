"""Settings of the operators' client, from a TOML file and flags."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, NamedTuple, get_type_hints

from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.models import Address

__all__ = ["ClientSettings", "SettingsError", "load"]


class ClientSettings(NamedTuple):
    """Addresses, certificate and time limits of the client."""

    store: Annotated[tuple[Address, ...], "addresses of the key-value service"]
    certificate: Annotated[Path | None, "PEM file of the operator's certificate"] = None
    key: Annotated[Path | None, "PEM file of its private key"] = None
    authority: Annotated[Path | None, "PEM file of the authority that signs all"] = None
    timeout: Annotated[float, "seconds to wait for one answer"] = 5.0
    patience: Annotated[float, "seconds until --wait and drains give up"] = 60.0


class SettingsError(ZinniahookError):
    """The client's settings are invalid or incomplete."""


def load(file: Path | None, flags: dict[str, Any]) -> ClientSettings:
    """Read and check the settings; flags that are set override the file.

    Raises
    ------
    SettingsError
        If the file can't be read, or a setting is unknown, missing or wrong.
    """
    table = _read(file) if file is not None else {}
    for name, value in flags.items():
        if value:
            table[name] = value
    hints = get_type_hints(ClientSettings)
    values = {name: _value(name, value, hints, file) for name, value in table.items()}
    if not values.get("store"):
        raise SettingsError(
            "store: no address given (settings file or --store)",
            Code.SETTINGS_MISSING_KEY,
        )
    return ClientSettings(**values)


def _read(file: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        reason = f"{file}: {error}"
        raise SettingsError(reason, Code.SETTINGS_UNREADABLE) from None
    except RecursionError:
        reason = f"{file}: nested too deeply"
        raise SettingsError(reason, Code.SETTINGS_UNREADABLE) from None


def _value(name: str, value: Any, hints: dict[str, Any], file: Path | None) -> Any:
    if name not in hints:
        raise SettingsError(f"{name}: unknown key", Code.SETTINGS_UNKNOWN_KEY)
    if name == "store":
        return _addresses(name, value)
    if hints[name] is float:
        if type(value) not in (int, float) or not 0 < value < float("inf"):
            raise SettingsError(
                f"{name}: must be a finite number above 0, not {value!r}",
                Code.SETTINGS_TYPE,
            )
        return float(value)
    return _file(name, value, file)


def _addresses(name: str, value: Any) -> tuple[Address, ...]:
    texts = [value] if isinstance(value, str) else value
    if not isinstance(texts, list | tuple) or not all(
        isinstance(text, str) for text in texts
    ):
        reason = f"{name}: must be a list of addresses, not {value!r}"
        raise SettingsError(reason, Code.SETTINGS_TYPE)
    try:
        return tuple(Address.parse(text) for text in texts)
    except ValueError as error:
        raise SettingsError(f"{name}: {error}", Code.SETTINGS_ADDRESS) from None


def _file(name: str, value: Any, settings: Path | None) -> Path:
    if not isinstance(value, str | Path):
        raise SettingsError(
            f"{name}: must be a path, not {value!r}", Code.SETTINGS_TYPE
        )
    path = Path(value)
    if isinstance(value, str) and settings is not None:
        path = settings.parent / path
    try:
        found = path.is_file()
    except OSError as error:
        # The directory isn't accessible to this user, or the name is too long.
        reason = f"{name}: {error.strerror}: {path}"
        raise SettingsError(reason, Code.SETTINGS_FILE_MISSING) from None
    if not found:
        reason = f"{name}: there is no file {path}"
        raise SettingsError(reason, Code.SETTINGS_FILE_MISSING)
    return path
