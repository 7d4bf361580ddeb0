"""zinniahook: the operators' query and command language."""

from .grammar import CommandError, parse
from .sessions import Session
from .settings import ClientSettings

__all__ = ["ClientSettings", "CommandError", "Session", "parse"]
