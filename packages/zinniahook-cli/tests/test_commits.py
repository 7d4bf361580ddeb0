"""Commits of operators against the fake store, with injected faults."""

import asyncio

import pytest
from zinniahook_cli import grammar
from zinniahook_cli.answers import Status
from zinniahook_cli.main import evaluate
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_store import configurations
from zinniahook_store.configurations import Committed, Refused, Unknown

POINTER = "/zinniahook/configuration/pointer"


async def run(session, text):
    """Run statements; return the last answer."""
    answer = None
    for statement in grammar.parse(text):
        answer = await session.run(statement)
    return answer


async def queue_of(session, service="tally", name="ticket"):
    stored = await configurations.read(session.store)
    return stored.document.services_by_name[service].classes_by_name[name].queue


class TestCommit:
    def test_generations_follow_each_other(self, session_of, first):
        async def scenario():
            amina = session_of()
            answer = await run(amina, first)
            assert answer.text == "committed (generation 1)"
            answer = await run(amina, "set tally.queue = 64")
            assert answer.data == {"outcome": "committed", "generation": 2}
            current = await configurations.load(amina.store)
            tally = current.configuration.services_by_name["tally"]
            assert current.configuration.generation == 2
            assert tally.classes_by_name["ticket"].queue == 64
            history = await configurations.history(amina.store)
            assert [(item.generation, item.author) for item in history] == [
                (2, "amina"),
                (1, "amina"),
            ]

        asyncio.run(scenario())

    def test_several_changes_are_one_generation(self, session_of, first):
        async def scenario():
            amina = session_of()
            await run(amina, first)
            answer = await run(
                amina, "begin; set tally.queue = 8; set ledger.queue = 9; commit"
            )
            assert answer.data["generation"] == 2
            assert await queue_of(amina) == 8
            assert await queue_of(amina, "ledger", "export") == 9

        asyncio.run(scenario())

    def test_one_wrong_setting_refuses_the_whole(self, session_of, first, capsys):
        async def scenario():
            amina = session_of()
            await run(amina, first)
            text = "begin\nset tally.queue = 8\nset ledger.queue = many\ncommit"
            status = await evaluate(amina, text, must_commit=True)
            assert status == Status.REFUSED
            assert (await configurations.read(amina.store)).generation == 1

        asyncio.run(scenario())
        mark = capsys.readouterr().err.splitlines()
        assert mark[0] == "set ledger.queue = many"
        assert mark[1].index("^") == mark[0].index("many")

    def test_rollback_is_a_new_generation(self, session_of, first):
        async def scenario():
            amina = session_of()
            await run(amina, first)
            await run(amina, "set tally.queue = 64; remove service ledger")
            answer = await run(amina, "rollback to 1")
            assert answer.data["generation"] == 4
            stored = await configurations.read(amina.store)
            assert stored.document.retired_by_name == {}
            assert await queue_of(amina) == 16
            difference = await run(amina, "diff 1 4")
            assert difference.table.rows == ()

        asyncio.run(scenario())

    def test_an_operator_can_change_only_what_is_hers(self, session_of, first):
        async def scenario():
            await run(session_of(), first)
            answer = await run(session_of("moussa"), "set ledger.queue = 8")
            assert answer.status is Status.REFUSED
            assert answer.data["code"] == Code.NOT_PERMITTED
            answer = await run(session_of("moussa"), "set tally.queue = 8")
            assert answer.status is Status.OK

        asyncio.run(scenario())

    def test_no_view_shows_a_secret(self, session_of, first):
        async def scenario():
            amina = session_of()
            await run(amina, first)
            ring = (await configurations.read(amina.store)).keys
            (key,) = ring.flow_keys_by_number.values()
            for view in ("keys", "config", "history", "services"):
                answer = await run(amina, f"show {view}")
                for text in (answer.as_text(), answer.as_json()):
                    assert key.secret.hex() not in text
                    assert repr(key.secret) not in text

        asyncio.run(scenario())


class TestRace:
    def test_the_second_of_two_operators_gets_a_conflict(self, session_of, first):
        """A commit must not silently undo that of another operator.

        Both begin on generation 1 and commit. The second change is then based on
        content that is no longer in force.
        """

        async def scenario():
            amina, moussa = session_of(), session_of("moussa")
            await run(amina, first)
            await run(amina, "begin; set tally.queue = 8")
            await run(moussa, "begin; set tally.drain = 5")
            assert (await run(amina, "commit")).status is Status.OK
            answer = await run(moussa, "commit")
            assert answer.status is Status.REFUSED
            assert answer.data["code"] == Code.CONFLICT
            assert "generation 2 of amina" in answer.text
            assert answer.table.rows == (
                ("services.tally.classes.ticket.queue", 16, 8),
            )
            stored = await configurations.read(amina.store)
            assert stored.document.services_by_name["tally"].drain == 86400.0

        asyncio.run(scenario())

    def test_many_at_once_never_lose_a_commit(self, session_of, first):
        """Two operators must not get the same generation number.

        Eight commit at once, each on the generation that it has read. This fails if
        the pointer is moved without comparing its revision.
        """

        async def scenario():
            sessions = [session_of() for _ in range(8)]
            await run(sessions[0], first)
            answers = await asyncio.gather(
                *(
                    run(session, f"set tally.queue = {100 + number}")
                    for number, session in enumerate(sessions)
                )
            )
            won = [
                answer.data["generation"]
                for answer in answers
                if answer.data["outcome"] == "committed"
            ]
            assert sorted(won) == list(range(2, 2 + len(won)))
            stored = await configurations.read(sessions[0].store)
            assert stored.generation == 1 + len(won)
            assert len(won) >= 1

        asyncio.run(scenario())

    def test_a_change_may_name_its_base(self, session_of, first):
        async def scenario():
            amina = session_of()
            await run(amina, first)
            with pytest.raises(ZinniahookError) as caught:
                await run(session_of(base=7), "set tally.queue = 8")
            assert caught.value.code is Code.CONFLICT

        asyncio.run(scenario())


class TestLostAnswer:
    def test_a_commit_whose_answer_is_lost_is_committed_once(
        self, session_of, first, store
    ):
        """A change whose answer is lost must not be made a second time.

        The pointer moves, the answer is lost, and the client asks again. A lost
        answer doesn't show whether the write took effect.
        """

        async def scenario():
            amina = session_of()
            await run(amina, first)
            store.set_faults(lose=1, lose_prefix=POINTER)
            answer = await run(amina, "set tally.queue = 64")
            assert answer.data == {"outcome": "committed", "generation": 2}
            assert len(await configurations.history(amina.store)) == 2

        asyncio.run(scenario())

    def test_what_stays_unknown_can_be_settled(self, session_of, first, store):
        """An operator must be able to find out whether a change is in force.

        Every answer to the commit is lost, and the client gives up before the store
        recovers.
        """

        async def scenario():
            amina = session_of()
            await run(amina, first)
            store.set_faults(lose=configurations.ATTEMPTS, lose_prefix=POINTER)
            answer = await run(amina, "set tally.queue = 64")
            if answer.status is Status.UNKNOWN:
                answer = await run(amina, answer.data["command"])
            assert answer.data == {"outcome": "committed", "generation": 2}

        asyncio.run(scenario())

    def test_a_write_settled_as_refused_can_not_arrive_later(
        self, session_of, first, store
    ):
        """A change settled as refused must not come into force later.

        The write is sent, its answer is lost, the operation is settled as not
        committed, and only then does the write reach the store. This fails if a
        write in flight counts as failed.
        """

        async def scenario():
            async with asyncio.timeout(30):
                await steps()

        async def steps():
            amina = session_of()
            await run(amina, first)
            store.set_faults(lose=10, lose_prefix=POINTER, late=0.5)
            base = await configurations.read(amina.store)
            outcome = await configurations.commit(
                amina.store, base, base.document, "amina", "late-one"
            )
            assert isinstance(outcome, Unknown)
            # The marker arrives after all copies of the commit: once it is stored,
            # no copy is in flight any more.
            store.set_faults(lose_prefix="/marker")
            await amina.store.put("/marker", b"")
            store.set_faults(lose=0, late=0.0)
            settled = await configurations.settle(amina.store, "late-one")
            assert isinstance(settled, Refused | Committed)
            committed = await run(amina, "set tally.queue = 64")
            assert committed.status is Status.OK
            while await amina.store.get("/marker") is None:
                await asyncio.sleep(0.05)
            await amina.store.delete("/marker")
            history = await configurations.history(amina.store)
            found = [item for item in history if item.operation == "late-one"]
            assert bool(found) == isinstance(settled, Committed)

        asyncio.run(scenario())


class TestOutage:
    @pytest.mark.parametrize("outage", ["refuse", "hang"])
    def test_nothing_changes_while_the_store_is_down(
        self, session_of, first, store, outage
    ):
        """A change must not be half in force after a store outage.

        A change is begun, the store goes down, the change is committed, and the
        store returns. This fails if the writes of a change take effect one by one.
        """

        async def scenario():
            amina = session_of(timeout=0.3)
            await run(amina, first)
            await run(amina, "begin; set tally.queue = 64")
            store.set_faults(outage=outage)
            answer = await run(amina, "commit")
            assert answer.status in (Status.UNREACHABLE, Status.UNKNOWN)
            store.set_faults(outage="")
            stored = await configurations.read(session_of().store)
            assert stored.generation == 1
            assert (await run(session_of(), "set tally.queue = 65")).status == 0

        asyncio.run(scenario())

    def test_an_unreachable_store_has_its_own_status(self, session_of, store, capsys):
        async def scenario():
            store.set_faults(outage="refuse")
            status = await evaluate(session_of(timeout=0.3), "show services")
            store.set_faults(outage="")
            assert status == Status.UNREACHABLE

        asyncio.run(scenario())
        assert "301" in capsys.readouterr().err


class TestHistory:
    def test_is_bounded_and_leaves_no_value_behind(
        self, session_of, first, store, monkeypatch
    ):
        """The store must not fill up with old generations.

        Many commits each write a chunk of their own. This fails if chunks that no
        kept generation names aren't deleted.
        """
        monkeypatch.setattr(configurations, "HISTORY_KEPT", 5)
        monkeypatch.setattr(configurations, "PRUNE_EVERY", 4)

        async def scenario():
            amina = session_of()
            await run(amina, first)
            for number in range(15):
                await run(amina, f"set tally.queue = {100 + number}")
            history = await configurations.history(amina.store)
            assert 5 <= len(history) <= 9
            chunks = await amina.store.range("/zinniahook/configuration/chunk/")
            named = {name for item in history for name in item.chunks if name}
            assert {item.key.rpartition("/")[2] for item in chunks} == named
            with pytest.raises(ZinniahookError) as caught:
                await run(amina, "show config at 1")
            assert caught.value.code is Code.GENERATION_UNKNOWN
            assert caught.value.word.text == "1"

        asyncio.run(scenario())
