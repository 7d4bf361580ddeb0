"""Differences between configurations, and their exchange between daemons."""

import asyncio
import json
import random

import pytest
from zinniahook_core.codes import Code
from zinniahook_core.packets import Routes
from zinniahook_daemon.packets import differences, web
from zinniahook_daemon.packets.daemon import Daemon
from zinniahook_daemon.packets.differences import DifferenceError
from zinniahook_daemon.packets.documents import (
    DIFFERENCE_TYPE,
    KEPT_VERSIONS,
    Documents,
    encode_request,
)

MAX_BYTES_PER_CHANGE = 8_000 * 86_400 / 13_000
"""Bytes that a daemon may receive per change: 8 KB/s at 13,000 changes a day."""


def document(version, count=200, changed=()):
    """Return a document of routes; those in ``changed`` have another time-out."""
    routes = [
        {
            "name": f"r-{random.Random(number).getrandbits(40):x}",
            "host": f"198.18.{number // 250}.{number % 250}",
            "service": f"service-{number}",
            "timeout": 1.5 if number in changed else 2.5,
        }
        for number in range(count)
    ]
    return json.dumps({"version": version, "routes": routes}).encode()


def routes(version, count=200, changed=()):
    return Routes(version, {}, 60.0, document(version, count, changed))


class TestDifference:
    @pytest.mark.parametrize("seed", range(20))
    def test_makes_the_new_version(self, seed):
        """Routes are changed, added, removed and moved at random."""
        rng = random.Random(seed)
        pieces = [f'{{"route":{n}}}'.encode() for n in range(rng.randrange(60))]
        former = b"[" + b",".join(pieces) + b"]"
        for _ in range(rng.randrange(8)):
            added = b'{"new":%d}' % rng.randrange(9)
            pieces.insert(rng.randrange(len(pieces) + 1), added)
            del pieces[rng.randrange(len(pieces))]
        moved = pieces[: rng.randrange(len(pieces) + 1)]
        rng.shuffle(moved)
        pieces[: len(moved)] = moved
        new = b"[" + b",".join(pieces) + b"]"
        assert differences.apply(former, differences.difference(former, new)) == new

    @pytest.mark.parametrize(("former", "new"), [(b"", b"x"), (b"x", b""), (b"", b"")])
    def test_between_documents_without_objects(self, former, new):
        assert differences.apply(former, differences.difference(former, new)) == new

    def test_one_change_of_the_largest_configuration_is_within_its_bytes(self):
        former, new = document(1, 5800), document(2, 5800, changed={4000})
        assert len(differences.difference(former, new)) < MAX_BYTES_PER_CHANGE / 10

    def test_another_base_raises_an_error(self):
        """The daemon has another version than the difference's base."""
        made = differences.difference(document(1), document(2))
        with pytest.raises(DifferenceError) as raised:
            differences.apply(document(3), made)
        assert raised.value.code is Code.CONFIGURATION_INVALID

    def test_damage_raises_an_error(self):
        """The digest covers the whole document, so versions are never mixed."""
        former = document(1)
        made = differences.zlib.decompress(differences.difference(former, document(2)))
        for at in range(differences.DIGEST_BYTES, len(made)):
            broken = bytearray(made)
            broken[at] ^= 1
            packed = differences.zlib.compress(bytes(broken))
            with pytest.raises(DifferenceError):
                differences.apply(former, packed)
            with pytest.raises(DifferenceError):
                differences.apply(former, differences.zlib.compress(made[:at]))

    def test_one_that_grows_without_bound_is_refused(self, monkeypatch):
        made = differences.difference(document(1), document(2))
        monkeypatch.setattr(differences, "MAX_DOCUMENT_BYTES", 1000)
        with pytest.raises(DifferenceError):
            differences.apply(document(1), made)


class TestServing:
    def asked(self, documents, known, newest):
        answer = documents.answer(newest, encode_request(known))
        return answer.content_type, documents.read(known, answer)

    def test_a_daemon_one_version_behind_gets_the_difference(self):
        documents = Documents()
        documents.keep(routes(1))
        received = self.asked(documents, routes(1), routes(2))
        assert received == (DIFFERENCE_TYPE, document(2))

    def test_one_that_lags_far_behind_gets_the_whole(self):
        documents = Documents()
        for version in range(1, KEPT_VERSIONS + 2):
            documents.keep(routes(version))
        kind, found = self.asked(documents, routes(1), routes(KEPT_VERSIONS + 2))
        assert kind != DIFFERENCE_TYPE
        assert found == document(KEPT_VERSIONS + 2)
        kind, found = self.asked(documents, routes(2), routes(KEPT_VERSIONS + 2))
        assert (kind, found) == (DIFFERENCE_TYPE, document(KEPT_VERSIONS + 2))

    def test_one_that_has_just_started_gets_the_whole(self):
        kind, found = self.asked(Documents(), Routes.none(), routes(7))
        assert kind != DIFFERENCE_TYPE
        assert found == document(7)

    def test_other_text_of_the_same_version_is_no_base(self):
        """Two histories of the store gave the same version to different documents."""
        documents = Documents()
        documents.keep(routes(1))
        kind, _ = self.asked(documents, routes(1, changed={3}), routes(2))
        assert kind != DIFFERENCE_TYPE

    @pytest.mark.parametrize("asked", [b"", b"{", b"[]", b'{"digest": 7}', b"\xff"])
    def test_a_malformed_request_gets_the_whole(self, asked):
        answer = Documents().answer(routes(3), asked)
        assert Documents().read(Routes.none(), answer) == document(3)

    def test_without_a_configuration_the_answer_is_not_found(self):
        assert Documents().answer(Routes.none(), b"").status == web.NOT_FOUND


class WrongBasePeer:
    """Answers with a difference of another base, then with the whole document."""

    def __init__(self):
        self.requests = []

    async def call(self, method, path, body=b""):
        self.requests.append(body)
        if body:
            made = differences.difference(document(8), document(9))
            return web.Answer(web.OK, made, DIFFERENCE_TYPE)
        return Documents().answer(routes(9), b"")


class RequestingDaemon(Daemon):
    """A daemon with a version in force and without sockets."""

    def __init__(self, in_force):
        self._documents = Documents()
        self.events = []
        self.journal = self
        self.core = self
        self.routes = in_force

    def event(self, name, **fields):
        self.events.append((name, fields["code"]))


class TestDifferenceThatDoesNotFit:
    async def fetched(self):
        daemon, peer = RequestingDaemon(routes(5)), WrongBasePeer()
        found = await daemon._fetch_document(peer, "10.0.0.1")
        return daemon, peer, found

    def test_the_whole_is_asked_for(self):
        """Guards against a daemon that stays at its version for good.

        Its peer sends a difference whose base this daemon doesn't have. It is
        refused, and every further request would get the same answer.
        """
        daemon, peer, found = asyncio.run(self.fetched())
        assert found == document(9)
        assert peer.requests == [encode_request(routes(5)), b""]
        assert daemon.events == [
            ("fetch.difference_refused", int(Code.CONFIGURATION_INVALID))
        ]
