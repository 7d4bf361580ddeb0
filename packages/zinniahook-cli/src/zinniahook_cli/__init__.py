"""The operators' query and command language, and its command line."""

from .grammar import CommandError, parse
from .sessions import Session
from .settings import ClientSettings

__all__ = ["ClientSettings", "CommandError", "Session", "parse"]
