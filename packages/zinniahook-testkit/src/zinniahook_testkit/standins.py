"""What the stand-ins that run as processes share: an admin server and an end."""

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
    """Serve the admin address, tell that all is ready, wait for SIGTERM.

    Parameters
    ----------
    routes : list of tuple
        The handlers of the admin address, as tornado takes them.
    host : str
        Loopback address to listen on; the port is picked by the system.
    **ready
        What the line on standard output tells besides the admin address.
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
