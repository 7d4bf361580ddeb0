"""An aioquic server that answers as scripted by each test."""

import asyncio
from typing import NamedTuple

import pytest
from aioquic.asyncio import QuicConnectionProtocol, serve
from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import H3_ALPN, ErrorCode, FrameType, H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from zinniahook_testkit.certificates import Authority


class Received(NamedTuple):
    """A complete request as received by the server."""

    server: "Server"
    stream: int
    headers: dict[str, str]
    body: bytes


class Server(QuicConnectionProtocol):
    """Collects requests and passes them to the test's script."""

    def __init__(self, script, requests, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.script = script
        self.requests = requests
        self.h3 = H3Connection(self._quic)
        self.headers = {}
        self.bodies = {}
        self.addresses = set()

    def datagram_received(self, data, addr):
        self.addresses.add(addr)
        super().datagram_received(data, addr)

    def quic_event_received(self, event):
        for item in self.h3.handle_event(event):
            if isinstance(item, HeadersReceived):
                pairs = [(n.decode(), v.decode()) for n, v in item.headers]
                self.headers[item.stream_id] = dict(pairs)
            elif isinstance(item, DataReceived):
                previous = self.bodies.get(item.stream_id, b"")
                self.bodies[item.stream_id] = previous + item.data
            if getattr(item, "stream_ended", False):
                self.serve_request(item.stream_id)

    def serve_request(self, stream):
        body = self.bodies.get(stream, b"")
        received = Received(self, stream, self.headers[stream], body)
        self.requests.append(received)
        self.script(received)
        self.transmit()

    def answer(self, stream, status=200, body=b"", **headers):
        fields = [(b":status", str(status).encode())]
        fields += [
            (name.replace("_", "-").encode(), str(value).encode())
            for name, value in headers.items()
        ]
        self.h3.send_headers(stream, fields, end_stream=not body)
        if body:
            self.h3.send_data(stream, body, end_stream=True)
        self.transmit()

    def reset(self, stream, code=ErrorCode.H3_REQUEST_REJECTED):
        self._quic.reset_stream(stream, code)
        self.transmit()

    def go_away(self, stream):
        last = encode_uint_var(stream)
        frame = encode_uint_var(FrameType.GOAWAY) + encode_uint_var(len(last)) + last
        self._quic.send_stream_data(self.h3._local_control_stream_id, frame)
        self.transmit()


class RunningServer(NamedTuple):
    """The address, requests and connections of a running server."""

    address: str
    requests: list
    connections: list


@pytest.fixture(scope="session")
def certificate(tmp_path_factory):
    """Return a certificate for 127.0.0.1."""
    return Authority(tmp_path_factory.mktemp("certificates")).issue("test")


@pytest.fixture
def run(certificate):
    """Return a function that runs a test against a server with a script."""

    def runner(script, test):
        async def main():
            requests, connections = [], []
            configuration = QuicConfiguration(is_client=False, alpn_protocols=H3_ALPN)
            configuration.load_cert_chain(certificate.certificate, certificate.key)

            def make(*args, **kwargs):
                connections.append(Server(script, requests, *args, **kwargs))
                return connections[-1]

            server = await serve(
                "127.0.0.1", 0, configuration=configuration, create_protocol=make
            )
            host, port = server._transport.get_extra_info("sockname")[:2]
            try:
                async with asyncio.timeout(30):
                    await test(RunningServer(f"{host}:{port}", requests, connections))
            finally:
                server.close()

        asyncio.run(main())

    return runner
