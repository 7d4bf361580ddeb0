"""The command line of ``zinniahookd``."""

from __future__ import annotations

import asyncio
import gc
import importlib
import signal
import sys
from pathlib import Path

from zinniahook_core.codes import ZinniahookError

from . import logs
from .clocks import BoottimeEventLoop
from .settings import Role, Settings, SettingsError, load

__all__ = ["main", "zinniahookd"]

EXIT_INVALID_SETTINGS = 2
"""Exit status for invalid settings."""

EXIT_FAILED = 1
"""Exit status if the daemon can't start, for example if an address is in use."""

PARSER_PACKAGES = frozenset(
    {"defopt", "docutils", "pockets", "pygments", "six", "sphinxcontrib"}
)
"""Packages that only the command-line parser imports."""

MODULES_BY_ROLE = {Role.ENTRY: "entries", Role.AGENT: "agents"}


def main() -> None:
    """Run ``zinniahookd`` with the arguments of the process."""
    import defopt

    command = defopt.bind(zinniahookd)
    del defopt
    _unload_parser_modules()
    sys.exit(command())


def _unload_parser_modules() -> None:
    """Unload the modules that only the command-line parser needs.

    This frees 4 MB that would stay allocated until the process ends.
    """
    for name in list(sys.modules):
        if name.partition(".")[0] in PARSER_PACKAGES:
            del sys.modules[name]
    gc.collect()


def zinniahookd(*, settings: Path, check: bool = False) -> int:
    """Serve as an entry or as the agent of a target.

    Parameters
    ----------
    settings : Path
        The settings file, in TOML.
    check : bool
        Only check the settings.

    Returns
    -------
    int
        Status of the process: 0, 1 if it can't start, 2 for bad settings.
    """
    try:
        loaded = load(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if check:
        return 0
    logs.configure(loaded.name)
    try:
        with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
            runner.run(_serve(loaded))
    except (ZinniahookError, OSError) as error:
        logs.log("failed", reason=str(error), code=int(getattr(error, "code", 0)))
        return EXIT_FAILED
    return 0


async def _serve(settings: Settings) -> None:
    """Start the node, and run its role until the daemon is stopped."""
    from .node import Node

    # Only the module of the daemon's own role is imported: an entry terminates
    # no QUIC connections and would hold about 10 MB of unused QUIC modules.
    module = MODULES_BY_ROLE[settings.role]
    role = importlib.import_module(f".{module}", __package__)
    node = Node(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    await node.start()
    try:
        await node.ready()
        if not node.stopping.is_set():
            await role.serve(node)
    finally:
        await node.stop()
        node.log("stopped")


if __name__ == "__main__":
    main()
