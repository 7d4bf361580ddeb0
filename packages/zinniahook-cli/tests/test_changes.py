"""Changes of the document by statements, and the rights to make them."""

import pytest
from zinniahook_cli.changes import change, not_permitted
from zinniahook_cli.grammar import CommandError, parse
from zinniahook_core.codes import Code
from zinniahook_core.configuration import ConfigurationError, Document
from zinniahook_core.configuration import parse as parse_document

TEXT = """
[operators.amina]
services = ["tally"]

[operators.moussa]
services = ["*"]
operators = true

[services.tally]
number = 1
address = "127.0.0.1:4433"
[services.tally.classes.stream]
prefix = "/stream"
[services.tally.classes.ticket]
prefix = "/ticket"

[services.ledger]
number = 2
address = "127.0.0.1:4434"
"""


@pytest.fixture
def document():
    return parse_document(TEXT)


class TestChange:
    def test_a_setting_of_classes_is_that_of_every_class(self, document):
        changed = change(document, parse("set tally.queue = 64"))
        classes = changed.services_by_name["tally"].classes_by_name
        assert {item.queue for item in classes.values()} == {64}

    def test_a_setting_of_one_class(self, document):
        changed = change(document, parse("set tally.ticket.deadline = 2.5"))
        classes = changed.services_by_name["tally"].classes_by_name
        assert classes["ticket"].deadline == 2.5
        assert classes["stream"].deadline == 10.0

    def test_lists(self, document):
        changed = change(document, parse("set tally.targets = tally-*, spare-1"))
        assert changed.services_by_name["tally"].targets == ("tally-*", "spare-1")
        changed = change(changed, parse("set tally.data_centres = none"))
        assert changed.services_by_name["tally"].data_centres == ()

    def test_create_and_remove(self, document):
        changed = change(
            document,
            parse(
                "create service feed number = 5 address = 127.0.0.1:4435\n"
                "create class feed.all prefix = /\n"
                "remove service ledger"
            ),
        )
        assert set(changed.services_by_name) == {"tally", "feed"}
        assert changed.services_by_name["feed"].classes_by_name["all"].prefix == "/"
        assert changed.retired_by_name == {"ledger": 2}

    def test_a_retired_number_is_refused(self, document):
        steps = parse(
            "remove service ledger\n"
            "create service feed number = 2 address = 127.0.0.1:4435"
        )
        with pytest.raises(ConfigurationError) as caught:
            change(document, steps)
        assert caught.value.problems[0].key == "services.feed.number"

    def test_the_whole_is_checked_not_each_step(self, document):
        swapped = change(
            document,
            parse(
                "set tally.address = 127.0.0.1:4434\n"
                "set ledger.address = 127.0.0.1:4433"
            ),
        )
        assert swapped.services_by_name["ledger"].address.port == 4433

    def test_a_setting_of_classes_needs_a_class(self, document):
        """The error must not suggest the name that was typed.

        It read "no setting 'bare.queue'; did you mean 'bare.queue'?" for a class
        setting of a service without classes, as the list of known settings contained
        the name.
        """
        bare = change(document, parse("create service bare number=9 address=1.1.1.1:1"))
        with pytest.raises(
            CommandError, match="of classes, and bare has none"
        ) as caught:
            change(bare, parse("set bare.queue = 64"))
        assert caught.value.code is Code.COMMAND_UNKNOWN_NAME

    @pytest.mark.parametrize(
        ("source", "word", "code"),
        [
            ("set tall.queue = 64", "tall", Code.COMMAND_UNKNOWN_NAME),
            ("set tally.queu = 64", "tally.queu", Code.COMMAND_UNKNOWN_NAME),
            ("set tally.queue = many", "many", Code.CONFIGURATION_INVALID),
            ("set tally.queue = 1, 2", "2", Code.CONFIGURATION_INVALID),
            ("remove class tally.x", "tally.x", Code.COMMAND_UNKNOWN_NAME),
            ("create service tally number=9", "tally", Code.CONFIGURATION_INVALID),
        ],
    )
    def test_errors_point_at_the_word(self, document, source, word, code):
        with pytest.raises(CommandError) as caught:
            change(document, parse(source))
        assert caught.value.word.text == word
        assert caught.value.code is code


class TestPermission:
    def test_an_operator_changes_only_what_is_hers(self, document):
        changed = change(document, parse("set ledger.drain = 5; set tally.drain = 5"))
        assert not_permitted(document, changed, "amina") == ("services.ledger.drain",)
        assert not_permitted(document, changed, "moussa") == ()
        assert len(not_permitted(document, changed, "nobody")) == 2

    def test_an_operator_cannot_grant_herself_rights(self, document):
        changed = change(document, parse("set operators.amina.operators = true"))
        assert not_permitted(document, changed, "amina")

    def test_the_first_deployment_allows_any_operator(self):
        changed = parse_document(TEXT)
        assert not_permitted(Document(), changed, "anyone") == ()
