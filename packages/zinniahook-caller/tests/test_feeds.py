import asyncio
import itertools
import random

import pytest
from aioquic.h3.connection import ErrorCode
from hypothesis import given, strategies
from zinniahook_caller import Backoff, Event, FeedRefusedError, Session, Spread
from zinniahook_caller.feeds import MAX_EVENT_BYTES, EventParser

LAST_STREAM = (1 << 62) - 4
NO_SPREAD = Spread(leaving=0.0, lost=0.0)


class FeedServer:
    """Server script that begins a feed; the test sends its events."""

    def __init__(self):
        self.opened = asyncio.Queue()

    def __call__(self, received):
        fields = [(b":status", b"200"), (b"content-type", b"text/event-stream")]
        received.server.h3.send_headers(received.stream, fields)
        self.opened.put_nowait(received)


def send(received, *numbers, end=False):
    body = b"".join(b"id: %d\ndata: %d!\n\n" % (n, n) for n in numbers)
    received.server.h3.send_data(received.stream, body, end_stream=end)
    received.server.transmit()


def session(running, certificate, spread=NO_SPREAD):
    return Session(
        running.address,
        ca=str(certificate.authority),
        backoff=Backoff(0.001, 0.01),
        spread=spread,
        rng=random.Random(1),
    )


async def take(feed, count):
    """Read ``count`` events and return their numbers."""
    events = []
    async for event in feed:
        assert event.data == f"{event.id}!"
        events.append(int(event.id))
        if len(events) == count:
            return events
    raise AssertionError(f"ended after {events}")


class TestFeed:
    def test_continues_on_another_connection_when_its_server_leaves(
        self, run, certificate
    ):
        """A feed must survive the replacement of its target.

        The server sends GOAWAY and continues for a while, the feed is opened on a new
        connection, and both send the same events for a time. This fails if the feed
        isn't reopened while the old answer still works, or if events of the overlap
        are delivered twice.
        """

        async def check(running):
            async with (
                session(running, certificate) as caller,
                caller.events("/feed") as feed,
            ):
                old = await source.opened.get()
                send(old, 1, 2)
                assert await take(feed, 2) == [1, 2]
                old.server.go_away(LAST_STREAM)
                send(old, 3)
                new = await source.opened.get()
                assert new.server is not old.server
                after = int(new.headers["last-event-id"])
                assert after in (2, 3)
                assert new.headers["accept"] == "text/event-stream"
                send(new, *range(after + 1, 6))
                assert await take(feed, 3) == [3, 4, 5]
                assert (feed.reopened, feed.cuts) == (1, 0)

        run(source := FeedServer(), check)

    def test_the_old_answer_is_read_until_the_new_one_begins(self, run, certificate):
        """A slow new target must not stall a feed.

        The server leaves, and the new answer is slow while the old one delivers more
        events, which the new one then repeats. This fails if the old answer is
        cancelled before the new one has begun.
        """
        requests = []

        def script(received):
            if source.opened.empty() and not requests:
                requests.append(received)
                source(received)
            else:
                requests.append(received)

        async def check(running):
            async with (
                session(running, certificate) as caller,
                caller.events("/feed") as feed,
            ):
                old = await source.opened.get()
                send(old, 1)
                assert await take(feed, 1) == [1]
                old.server.go_away(LAST_STREAM)
                while len(requests) < 2:
                    await asyncio.sleep(0)
                send(old, 2, 3)
                assert await take(feed, 2) == [2, 3]
                source(requests[1])
                send(requests[1], 2, 3, 4)
                assert await take(feed, 1) == [4]
                assert feed.doubles == 2

        source = FeedServer()
        run(script, check)

    @pytest.mark.parametrize("way", ["reset", "close", "end"])
    def test_continues_after_it_was_cut(self, run, certificate, way):
        """A feed must have no gap where its connection was lost.

        The answer is cut off or ends, or its connection is closed. This fails if the
        new answer begins with the present instead of after the last id.
        """

        async def check(running):
            async with (
                session(running, certificate) as caller,
                caller.events("/feed", last_id="6") as feed,
            ):
                old = await source.opened.get()
                assert old.headers["last-event-id"] == "6"
                send(old, 7, 8, end=way == "end")
                assert await take(feed, 2) == [7, 8]
                if way == "reset":
                    old.server.reset(old.stream, ErrorCode.H3_INTERNAL_ERROR)
                elif way == "close":
                    old.server.close()
                new = await source.opened.get()
                assert new.headers["last-event-id"] == "8"
                send(new, 9)
                assert await take(feed, 1) == [9]
                assert feed.cuts == (way != "end")

        run(source := FeedServer(), check)

    def test_feeds_of_one_server_do_not_reopen_together(self, run, certificate):
        """The replacement of a target must not overload the other targets.

        A server with many feeds sends GOAWAY. This fails if all of them are reopened
        at the same time.
        """

        async def check(running):
            async with session(running, certificate, Spread(3600.0, 0.0)) as caller:
                caller._rng = FixedRandom(0.0, 0.5)
                async with (
                    caller.events("/feed") as soon,
                    caller.events("/feed") as later,
                ):
                    old_answers = [await source.opened.get() for _ in range(2)]
                    for old in old_answers:
                        send(old, 1)
                    assert await take(soon, 1) == await take(later, 1) == [1]
                    old_answers[0].server.go_away(LAST_STREAM)
                    new = await source.opened.get()
                    assert new.server is not old_answers[0].server
                    send(new, 2)
                    for old in old_answers:
                        send(old, 2, 3)
                    assert await take(later, 2) == [2, 3]
                    assert (soon.reopened, later.reopened) == (1, 0)
                    assert source.opened.empty()

        run(source := FeedServer(), check)

    def test_an_answer_that_is_no_feed_is_an_error(self, run, certificate):
        def plain(received):
            received.server.answer(received.stream, 404, body=b"no")

        async def check(running):
            async with session(running, certificate) as caller:
                with pytest.raises(FeedRefusedError, match="404"):
                    async with caller.events("/feed"):
                        pass

        run(plain, check)

    def test_no_content_ends_the_feed(self, run, certificate):
        def script(received):
            if "last-event-id" in received.headers:
                received.server.answer(received.stream, 204)
            else:
                source(received)
                send(received, 1, end=True)

        async def check(running):
            async with (
                session(running, certificate) as caller,
                caller.events("/feed") as feed,
            ):
                assert [event.id async for event in feed] == ["1"]

        source = FeedServer()
        run(script, check)


class FixedRandom:
    """Random number generator that returns given numbers."""

    def __init__(self, *draws):
        self.draws = list(draws)

    def random(self):
        return self.draws.pop(0)


class TestEventParser:
    TEXT = (
        b": hello\nid: 1\ndata: a\ndata:b\n\r\n"
        b"event: loan\r\nid:2\r\ndata: \xc3\xa9\r\n\r\n"
        b"id: 3\n\ndata: none\r\rretry: 5\n\ndata: unfinished"
    )
    EVENTS = (
        Event("1", "message", "a\nb"),
        Event("2", "loan", "é"),
        Event("", "message", "none"),
    )

    @given(cuts=strategies.lists(strategies.integers(0, len(TEXT)), max_size=8))
    def test_chunks_may_end_anywhere(self, cuts):
        parser = EventParser()
        places = [0, *sorted(cuts), len(self.TEXT)]
        events = []
        for begin, end in itertools.pairwise(places):
            events += parser.feed(self.TEXT[begin:end])
        assert tuple(events) == self.EVENTS

    @given(strategies.lists(strategies.binary(max_size=40), max_size=8))
    def test_any_bytes_are_survived(self, chunks):
        parser = EventParser()
        for chunk in chunks:
            for event in parser.feed(chunk):
                assert event.data is not None

    def test_an_event_without_end_is_refused(self):
        parser = EventParser()
        with pytest.raises(FeedRefusedError):
            for _ in range(3):
                parser.feed(b"data: " + b"x" * (MAX_EVENT_BYTES // 2) + b"\n")
