"""A minimal UDP relay in Python, the baseline for one entry's packet rate.

It only reads in batches when the socket is ready and forwards each datagram: no
routing, no authentication.
"""

from __future__ import annotations

import asyncio
import json
import socket

import defopt

__all__ = ["main", "serve"]

DATAGRAMS_PER_READ = 64
MAX_DATAGRAM_BYTES = 65535


def main(argv: list[str] | None = None) -> None:
    """Run the relay as a process."""
    defopt.run(serve, argv=argv)


def serve(sink: str) -> None:
    """Relay every datagram to ``sink`` and print the ready line.

    Parameters
    ----------
    sink : str
        ``host:port`` of the receiver.
    """
    asyncio.run(_relay(sink))


async def _relay(sink: str) -> None:
    host, _, port = sink.rpartition(":")
    to = (host, int(port))
    inward = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    inward.setblocking(False)
    inward.bind(("127.0.0.1", 0))
    outward = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    outward.setblocking(False)

    def readable() -> None:
        for _ in range(DATAGRAMS_PER_READ):
            try:
                data, _ = inward.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            outward.sendto(data, to)

    asyncio.get_running_loop().add_reader(inward, readable)
    address = f"127.0.0.1:{inward.getsockname()[1]}"
    print(json.dumps({"ready": {"address": address}}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
