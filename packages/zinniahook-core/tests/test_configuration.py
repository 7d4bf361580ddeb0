"""The configuration document: parsing, rendering, validation and diff."""

import random

import pytest
from zinniahook_core.codes import Code
from zinniahook_core.configuration import (
    ConfigurationError,
    Difference,
    Document,
    KeyRing,
    compile,
    diff,
    parse,
    render,
    retire,
    validate,
)
from zinniahook_core.models import Address, Key, Protocol, RequestClass, Service

TEXT = """
[rollout]
pause = 5

[operators.amina]
services = ["tally", "ledger"]
keys = true

[services.tally]
number = 1
address = "127.0.0.1:4433"
targets = ["tally-*"]
data_centres = ["thies-1", "thies-2"]

[services.tally.classes.stream]
prefix = "/stream"
slots = 0

[services.tally.classes.ticket]
prefix = "/ticket"
share = 0.5
queue = 32

[services.feed]
number = 2
address = "[::1]:4434"
protocol = "udp"
"""


def problems_of(text):
    with pytest.raises(ConfigurationError) as caught:
        parse(text)
    return {problem.key: problem for problem in caught.value.problems}


class TestParse:
    def test_values_have_their_types(self):
        document = parse(TEXT)
        tally = document.services_by_name["tally"]
        assert tally.address == Address("127.0.0.1", 4433)
        assert tally.classes_by_name["ticket"].queue == 32
        assert document.services_by_name["feed"].protocol is Protocol.UDP
        assert document.rollout.pause == 5.0
        assert document.operators_by_name["amina"].keys

    def test_render_gives_the_same_document_back(self):
        document = parse(TEXT)
        assert parse(render(document)) == document

    def test_random_documents_survive_render(self):
        rng = random.Random(7)
        for _ in range(50):
            services = {}
            for number in rng.sample(range(1, 65536), rng.randrange(1, 9)):
                item = RequestClass(
                    "all", "/", rng.randrange(4), round(rng.random(), 3)
                )
                services[f"s{number}"] = Service(
                    f"s{number}",
                    number,
                    Address("10.0.0.1", number),
                    classes_by_name={"all": item},
                    drain=round(rng.uniform(0.1, 99), 3),
                )
            document = Document(services)
            assert parse(render(document)) == document

    def test_all_problems_are_reported_together(self):
        text = TEXT.replace("queue = 32", "queue = -1\ncolour = 3").replace(
            "pause = 5", "pause = 'x'"
        )
        found = problems_of(text)
        assert set(found) == {
            "rollout.pause",
            "services.tally.classes.ticket.queue",
            "services.tally.classes.ticket.colour",
        }
        assert {item.code for item in found.values()} == {Code.CONFIGURATION_INVALID}

    @pytest.mark.parametrize(
        ("text", "key"),
        [
            ("x =", "document"),
            ("x = " + "[" * 5000, "document"),
            ("services = 3", "services"),
            ("[services.'a b']\nnumber = 1\naddress = '1.1.1.1:1'", "services.a b"),
            ("[services.a]\naddress = '1.1.1.1:1'", "services.a.number"),
            ("[services.a]\nnumber = true\naddress = '1.1.1.1:1'", "services.a.number"),
            ("[services.a]\nnumber = 1\naddress = '1.1.1.1'", "services.a.address"),
            ("[services.a]\nnumber = 1\naddress = 'x:1'", "services.a.address"),
            (TEXT.replace("number = 2", "number = 1"), "services.feed.number"),
            (TEXT.replace("[::1]:4434", "127.0.0.1:4433"), "services.feed.address"),
            (
                TEXT.replace('prefix = "/ticket"', 'prefix = "/stream"'),
                "services.tally.classes.ticket.prefix",
            ),
            (
                TEXT.replace("slots = 0", "share = 0.6"),
                "services.tally.classes",
            ),
            ("[retired]\nold = 2\n" + TEXT, "services.feed.number"),
        ],
    )
    def test_problem_names_its_key(self, text, key):
        assert key in problems_of(text)


class TestNumbers:
    def test_a_removed_number_must_be_retired(self):
        """A packet of a removed service must not reach its successor.

        A service is removed, its number is assigned to a new one, and a late packet
        arrives. The connection id of the old flow contains only the number.
        """
        before = parse(TEXT)
        services = {"tally": before.services_by_name["tally"]}
        after = before._replace(services_by_name=services)
        assert [item.key for item in validate(after, before)] == ["retired.feed"]
        retired = retire(after, before)
        assert retired.retired_by_name == {"feed": 2}
        assert validate(retired, before) == ()
        other = services | {"new": before.services_by_name["feed"]}
        reused = retired._replace(services_by_name=other)
        assert [item.key for item in validate(reused, retired)] == [
            "services.new.number"
        ]

    def test_a_removed_service_may_come_back_under_its_number(self):
        before = parse(TEXT)
        services = {"tally": before.services_by_name["tally"]}
        removed = retire(before._replace(services_by_name=services), before)
        again = retire(before, removed)
        assert validate(again, removed) == ()
        assert again.retired_by_name == {}

    def test_a_number_stays_with_its_service(self):
        before = parse(TEXT)
        after = parse(TEXT.replace("number = 2", "number = 3"))
        assert [item.key for item in validate(after, before)] == [
            "services.feed.number"
        ]


class TestDiff:
    def test_names_the_setting_and_both_values(self):
        before = parse(TEXT)
        after = parse(TEXT.replace("queue = 32", "queue = 64"))
        assert diff(before, after) == (
            Difference("services.tally.classes.ticket.queue", 32, 64),
        )
        assert diff(before, before) == ()


class TestCompile:
    def test_joins_the_keys_and_shows_no_secret(self):
        key = Key(1, b"\x5a" * 32)
        ring = KeyRing({1: key}, {1: key}, 1, 1)
        configuration = compile(parse(TEXT), 7, ring)
        assert configuration.generation == 7
        assert configuration.services_by_name["feed"].number == 2
        assert repr(key.secret) not in repr(configuration)

    def test_the_key_in_use_must_be_there(self):
        ring = KeyRing({}, {1: Key(1, bytes(32))}, 1, 1)
        with pytest.raises(ConfigurationError):
            compile(parse(TEXT), 1, ring)
