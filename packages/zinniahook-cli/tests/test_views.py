"""The views of `show`, from rosters in a store and replies of daemons."""

import asyncio

import pytest
from hdrh.histogram import HdrHistogram
from zinniahook_cli import grammar
from zinniahook_cli.daemons import NoReply, Survey
from zinniahook_cli.views import VIEWS_BY_NAME
from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.models import Address, AgentState, Member, Roster
from zinniahook_wire import documents
from zinniahook_wire.control_pb2 import Histogram, StatusReply

READY = Address("127.0.0.1", 7001)
LEAVING = Address("127.0.0.1", 7002)
ENTRY = Address("127.0.0.1", 7003)


def member(number, control, state):
    target = Address("10.0.0.7", 9000 + number)
    return Member(f"tally-{number}", control, control, target, "thies-1", 3, state, 4)


ROSTER = Roster(
    "tally",
    0,
    {
        "tally-1": member(1, READY, AgentState.READY),
        "tally-2": member(2, LEAVING, AgentState.LEAVING),
    },
)
DAEMONS = [documents.Daemon("entry-1", "entry", ENTRY, 1)]


def tickets(*seconds):
    values = HdrHistogram(1, 10**9, 2)
    for each in seconds:
        values.record_value(round(each * 1e6))
    return Histogram(service="tally", request_class="ticket", encoded=values.encode())


class FakeDaemons:
    """Replies for one agent and one entry; the other agent doesn't answer."""

    async def survey(self, controls, **_):
        answers = {
            READY: StatusReply(
                name="tally-1",
                role="agent",
                data_centre="thies-1",
                service="tally",
                state="ready",
                generation=1,
                has_load=True,
                slots=4,
                busy=2,
                flows=9,
                counters_by_name={"agent.requests": 5},
                drops_by_code={int(Code.NO_AGENT): 2},
                histograms=[tickets(0.1, 0.2, 0.2, 0.4)],
            ),
            ENTRY: StatusReply(name="entry-1", role="entry", state="serving"),
        }
        asked = list(controls)
        unanswered = tuple(
            NoReply(control, "timeout") for control in asked if control not in answers
        )
        return Survey(
            {control: answers[control] for control in asked if control in answers},
            unanswered,
        )


@pytest.fixture
def ask(session_of, first):
    """Return a function that runs statements and returns the last answer.

    The store holds a roster and the list of daemons.
    """

    def start(text):
        async def scenario():
            session = session_of()
            session.daemons = FakeDaemons()
            for statement in grammar.parse(first):
                await session.run(statement)
            store = session.store
            key = documents.roster_key("tally")
            await store.put(key, documents.roster_to_json(ROSTER))
            key = documents.daemons_key("thies-1")
            await store.put(key, documents.daemons_to_json(DAEMONS, []))
            answer = None
            for statement in grammar.parse(text):
                answer = await session.run(statement)
            return answer

        return asyncio.run(scenario())

    return start


class TestViews:
    @pytest.mark.parametrize("name", VIEWS_BY_NAME)
    def test_every_view_prints_rows(self, ask, name):
        answer = ask(f"show {name}")
        assert answer.table.rows
        assert all(len(row) == len(answer.table.columns) for row in answer.table.rows)
        assert answer.as_text()
        assert answer.as_json()

    def test_targets_are_filtered_by_state(self, ask):
        table = ask("show targets of tally where state = leaving").table
        assert [row[1] for row in table.rows] == ["tally-2"]
        assert table.notes == ("no answer from 127.0.0.1:7002: timeout",)

    def test_flows_by_target(self, ask):
        table = ask("show flows of tally by target").table
        assert table.columns[0] == "target"
        assert table.rows == (("10.0.0.7:9001", 9, 0, 2, 0),)

    def test_latencies_by_service_and_class(self, ask):
        ((service, kind, count, *quantiles),) = ask("show latencies").table.rows
        assert (service, kind, count) == ("tally", "ticket", 4)
        assert quantiles == pytest.approx([0.2, 0.4, 0.4, 0.4], rel=0.01)

    def test_entries_come_from_their_announcements(self, ask):
        assert [row[0] for row in ask("show entries").table.rows] == ["entry-1"]

    def test_rollout_counts_only_own_answers(self, ask):
        table = ask("show rollout").table
        assert ("thies-1", 1, 1) in [row[1:] for row in table.rows]
        assert any("127.0.0.1:7002" in note for note in table.notes)

    def test_an_older_generation(self, ask):
        text = "set tally.queue = 64; show classes of tally at 1"
        row = dict(zip(*_first_row(ask(text).table), strict=True))
        assert row["queue"] == 16

    @pytest.mark.parametrize(
        ("text", "word", "code"),
        [
            ("show target", "target", Code.COMMAND_UNKNOWN_NAME),
            ("show targets of tale", "tale", Code.COMMAND_UNKNOWN_NAME),
            ("show targets by colour", "colour", Code.COMMAND_UNKNOWN_NAME),
            ("show config at x", "x", Code.COMMAND_SYNTAX),
            ("show config at 9", "9", Code.GENERATION_UNKNOWN),
        ],
    )
    def test_errors_point_at_the_word(self, ask, text, word, code):
        with pytest.raises(ZinniahookError) as caught:
            ask(text)
        assert caught.value.code is code
        assert caught.value.word.text == word


def _first_row(table):
    return table.columns, table.rows[0]
