"""The admin server and shutdown of stand-ins that run as processes."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from typing import Any

import tornado.web
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

__all__ = ["LOOPBACK", "serve"]

LOOPBACK = "127.0.0.1"


async def serve(
    routes: list[tuple[Any, ...]], host: str = LOOPBACK, **ready: Any
) -> None:
    """Serve the admin address, print the ready line and wait for SIGTERM.

    Parameters
    ----------
    routes : list of tuple
        The handlers of the admin address, in tornado's form.
    host : str
        Loopback address to listen on; the port is picked by the system.
    **ready
        Fields of the ready line besides the admin address.
    """
    admin = bind_sockets(0, host, socket.AF_INET)
    application = tornado.web.Application(routes, log_function=lambda handler: None)
    HTTPServer(application).add_sockets(admin)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    ready["admin"] = "{}:{}".format(*admin[0].getsockname())
    print(json.dumps({"ready": ready}), flush=True)
    await stopping.wait()
