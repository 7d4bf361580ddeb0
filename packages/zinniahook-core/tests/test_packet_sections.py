"""Sections that follow a status, and the features that require them."""

from zinniahook_core.packets import Features, Route, Routes, ServiceShare, Urgency
from zinniahook_core.packets.features import has_competing_routes
from zinniahook_core.packets.models import State
from zinniahook_core.packets.sections import Section
from zinniahook_core.packets.tunnel import Status, decode_status, encode_status

STATUS = Status(7, State.READY, 3, 1.5, 20, 0.0, 0.05)


class TestSections:
    def test_a_status_without_sections_has_18_bytes(self):
        assert len(encode_status(STATUS)) == 18

    def test_sections_are_decoded_with_their_status(self):
        status = STATUS._replace(sections={Section.HEALTH: b"ab", Section.DEMAND: b""})
        assert decode_status(encode_status(status)) == status

    def test_an_unknown_section_is_kept(self):
        status = STATUS._replace(sections={200: b"x" * 255})
        assert decode_status(encode_status(status)) == status

    def test_a_truncated_section_is_malformed(self):
        """A datagram of another version, or a truncated one, must not raise."""
        whole = encode_status(STATUS._replace(sections={Section.DEMAND: b"abc"}))
        for size in range(len(whole)):
            decoded = decode_status(whole[:size])
            assert decoded == (STATUS if size == 18 else None)


def routes(*urgencies):
    by_address = {
        bytes(5) + bytes((number,)): Route(
            f"r{number}", (ServiceShare("tally", 1.0),), urgency
        )
        for number, urgency in enumerate(urgencies)
    }
    return Routes(1, by_address, 60.0, b"")


class TestFeatures:
    def test_routes_of_one_urgency_do_not_compete(self):
        assert not has_competing_routes(routes(), "tally")
        assert not has_competing_routes(
            routes(Urgency(1, 0.3), Urgency(1, 0.5)), "tally"
        )
        assert not has_competing_routes(routes(Urgency(1), Urgency(2)), "tally")

    def test_routes_of_two_priorities_compete_only_at_their_service(self):
        ranked = routes(Urgency(1, 0.3), Urgency(2, 0.3))
        assert has_competing_routes(ranked, "tally")
        assert not has_competing_routes(ranked, "ledger")

    def test_the_settings_go_first(self):
        ranked = routes(Urgency(1, 0.3), Urgency(2, 0.3))
        features = Features(request_order=False)
        assert not features.is_on(features.request_order, ranked, "tally")
        assert features.is_on(features.expected_work, ranked, "tally")
