"""Searches for the owners of flows among the agents of a service.

A home without a pointer passes the packet itself to the flow's candidates, a few at a
time. The owner delivers the packet, the other agents deny. If all have denied, a wider
set of candidates is asked once; its size doesn't depend on the size of the service. A
search ends as soon as the owner is known. Its result is remembered if there is no
owner; see `verdicts`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .indirect import IndirectQueries
from .member import Member
from .members import LOGGED_NAMES, Roster
from .models import Packet
from .node import Node
from .search import RELAY_AFTER_SECONDS, Acceptance, Search
from .tunnel import Head, Kind, Mark, Reason
from .verdicts import PERMANENT_EPOCH, Verdicts

__all__ = ["ENTRY_MARKS", "Searches", "Acceptance"]

SEARCH_TIMEOUT_SECONDS = 5.0
"""Seconds until a search ends: longer than a silent agent may still hold flows. If it
ended sooner, the client would have to wait for its next packet, which comes up to 1.6 s
later."""

SEARCH_RETRY_SECONDS = 0.06
"""Seconds until agents that haven't answered are asked again: longer than a target
takes to return a packet. Without a retry, if the question to the owner is lost, only
other targets see the packet."""

WAVE_TIMEOUT_SECONDS = 0.22
"""Seconds until more agents are asked although some haven't answered: longer than an
agent takes to find out that its target kept the packet twice (twice 0.05 s and a tick).
Otherwise the owner is about to claim the flow when three more targets get its packet.
"""

SEARCH_FAST_RETRY_PHASE_SECONDS = 0.5
"""Seconds of a search after which silent agents are asked less often, as most of them
are gone."""

SEARCH_SLOW_RETRY_SECONDS = 0.2

HELD_LIMIT = 16
"""Packets held for a search: what a client may have in flight."""

WAVE_AGENTS = 2
"""Agents asked at a time. After a restart of all agents, each agent that is asked has
to try the packet at its target, and a flow counts as broken if three other targets get
packets and its own target none. A wave takes 3 ms."""

WAVES_LIMIT = 8
"""Waves within which even the whole wide set of candidates is asked."""

SEARCHES_LIMIT = 4096

GIVE_BACK_AFTER_SECONDS = 0.25
"""Seconds of a search after which packets go to other services that may own the flow:
longer than the 0.2 s in which an agent finds out that its target holds it. Otherwise,
if one target is down, its agent has no answer for 1.5 s, and the service that owns the
flow isn't asked meanwhile."""

GIVE_BACK_LATEST_SECONDS = 0.5
"""The same while candidates are left to ask. They are asked first, as the owner may be
among them; otherwise all targets of other services would come before it."""

CANDIDATES_CACHE_SECONDS = 0.2
"""Seconds for which a search keeps its candidates if no agent joins meanwhile. Agents
that leave are skipped anyway. Computing the candidates for every few answers would cost
more than the questions."""

ENTRY_MARKS = Mark.SHARED | Mark.KNOWN
"""The marks of an entry's question that are passed on with its packet."""


class Searches:
    """The searches of one home.

    Parameters
    ----------
    node : Node
        The agent; sends and logs.
    roster : Roster
        The agents of the service.
    search_here : callable
        Tries a packet at this agent's own target, if it might own the flow.
    """

    def __init__(
        self,
        node: Node,
        roster: Roster,
        search_here: Callable[[float, Head, Packet], Acceptance],
    ) -> None:
        self.node = node
        self.roster = roster
        self._search_here = search_here
        self._by_flow: dict[bytes, Search] = {}
        self._verdicts = Verdicts()
        self._indirect = IndirectQueries(node, roster, self._candidates)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._by_flow

    @property
    def verdicts(self) -> int:
        """The number of flows whose search result is remembered."""
        return len(self._verdicts)

    def begin(self, now: float, head: Head, packet: Packet) -> None:
        """Start a search for the owner of a packet's flow."""
        if len(self._by_flow) >= SEARCHES_LIMIT:
            self.node.log.count("searches.refused")
            self.give_back(now, head, packet, Mark.UNSURE)
            return
        search = Search(now, now + SEARCH_RETRY_SECONDS, head, packet)
        search.epoch = self.roster.epoch
        again = self._recall_denials(now, search)
        acceptance = Acceptance.NO
        if self.node.address not in search.denied:
            acceptance = self._search_here(now, head, packet)
        if acceptance is Acceptance.YES:
            return
        self._by_flow[packet.flow] = search
        self.node.log.event(
            "search.resumed" if again else "search",
            flow=packet.flow,
            packet=packet.kind,
            length=packet.length,
            agents=len(self._not_asked(now, search)),
        )
        if acceptance is Acceptance.OPEN:
            search.wave_at = now
            search.waiting[self.node.address] = now
            return
        self._continue(now, packet.flow, search)

    def _recall_denials(self, now: float, search: Search) -> bool:
        """Mark agents as denied by an earlier verdict; return whether there was one.

        Agents that have joined since, or that hadn't answered, are asked again.
        """
        verdict = self._verdicts.get(now, search.packet)
        if verdict is None:
            return False
        search.is_wide = True
        search.denied = {
            member.address
            for member in self._candidates(now, search)
            if verdict.covers(member.address, member.changed_epoch)
        }
        if verdict.covers(self.node.address, 0):
            search.denied.add(self.node.address)
        return True

    def recall(self, now: float, head: Head, packet: Packet) -> bool:
        """Answer a packet by the verdict on its flow; return whether that was possible.

        Otherwise, if a client repeats the closing of a flow whose target is gone every
        1.6 s, the service is searched each time.
        """
        verdict = self._verdicts.get(now, packet)
        if verdict is None or verdict.missing:
            return False
        if verdict.epoch < self.roster.epoch:
            if not self._is_still_valid(now, head, packet):
                return False
            verdict.epoch = self.roster.epoch
        self.node.log.count("packets.recalled")
        alone = self._is_only_service(now, head, packet.flow)
        if alone and packet.is_resettable:
            self._log_end(packet, alone, 0)
        self._answer(now, head, packet, alone)
        return True

    def recall_end(self, now: float, head: Head, packet: Packet) -> bool:
        """Answer a packet whose flow has certainly ended at its own target."""
        verdict = self._verdicts.get(now, packet)
        if verdict is None or not verdict.has_ended:
            return False
        return self.recall(now, head, packet)

    def _is_still_valid(self, now: float, head: Head, packet: Packet) -> bool:
        """Return whether no possible owner has joined since the verdict."""
        search = Search(now, now, head, packet)
        self._recall_denials(now, search)
        unseen = self.roster.unseen(now, self._candidates(now, search))
        return not unseen and not self._not_asked(now, search)

    def ended(self, now: float, flow: bytes, acknowledged: int) -> None:
        """Note that a flow has ended together with its target."""
        self._verdicts.keep(now, flow, acknowledged, PERMANENT_EPOCH)
        for head, packet in self.remove(flow):
            self.recall(now, head, packet)

    def remove(self, flow: bytes) -> list[tuple[Head, Packet]]:
        """Remove a search and return all of its packets."""
        search = self._by_flow.pop(flow, None)
        if search is None:
            return []
        return [(search.head, search.packet), *search.held]

    def wait(self, now: float, head: Head, packet: Packet) -> None:
        """Add a packet to a search, or let the entry ask other services meanwhile."""
        search = self._by_flow[packet.flow]
        if head.marks & Mark.KNOWN:
            self.give_back(now, head, packet, Mark.UNSURE)
        elif search.given_back:
            self._resume(now, head, packet, search)
        elif len(search.held) < HELD_LIMIT:
            search.held.append((head, packet))

    def _resume(self, now: float, head: Head, packet: Packet, search: Search) -> None:
        """Continue a search that was given back: the entry asks this service again."""
        search.resume(now, head, packet)
        if search.waiting:
            self._ask_again(now, packet.flow, search)
        else:
            self._continue(now, packet.flow, search)

    def found(self, flow: bytes) -> list[tuple[Head, Packet]]:
        """Remove the search for a flow whose owner is known; return its packets."""
        self._verdicts.forget(flow)
        return self.remove(flow)

    def opened(self, flow: bytes) -> None:
        """Drop the verdict on a flow: a flow with the same key is opened here."""
        self._verdicts.forget(flow)

    def denied(self, now: float, sender: str, flow: bytes) -> None:
        """Note that an agent doesn't own a flow."""
        search = self._by_flow.get(flow)
        if search is None:
            return
        search.waiting.pop(sender, None)
        search.denied.add(sender)
        if not self._must_wait(now, search):
            self._continue(now, flow, search)
        elif not search.given_back and not search.is_wide:
            self._ask(now, search, search.take_last_unanswered(self.node.address))

    def tick(self, now: float) -> None:
        """End searches that are overdue, and ask silent agents again."""
        for flow, search in list(self._by_flow.items()):
            if now >= search.begun + SEARCH_TIMEOUT_SECONDS:
                del self._by_flow[flow]
                self._time_out(now, flow, search)
            elif now >= search.ask_at and search.given_back:
                self._schedule_retry(now, search)
                self._indirect.request_rosters(now, search)
            elif now >= search.ask_at:
                self._ask_again(now, flow, search)

    def _time_out(self, now: float, flow: bytes, search: Search) -> None:
        """End a search that lacks answers; remember the agents that are missing."""
        candidates = self._candidates(now, search)
        unseen = self.roster.unseen(now, candidates)
        missing = {*search.waiting, *unseen, *self._not_asked(now, search)}
        self._keep(now, search, frozenset(missing))
        self.node.log.event(
            "search.timeout",
            flow=flow,
            packet=search.packet.kind,
            length=search.packet.length,
            silent=sorted(search.waiting),
            unseen=unseen[:LOGGED_NAMES],
        )

    def _keep(self, now: float, search: Search, missing: frozenset[str]) -> None:
        packet = search.packet
        self._verdicts.keep(
            now, packet.flow, packet.acknowledged, search.epoch, missing
        )

    def _ask_again(self, now: float, flow: bytes, search: Search) -> None:
        """Ask agents that haven't answered again, and skip those that are gone.

        An agent that went silent is asked again if it comes back. Until then the search
        waits for as long as the agent may hold the flow.
        """
        self._schedule_retry(now, search)
        search.waiting = {
            name: at
            for name, at in search.waiting.items()
            if self._may_answer(now, name)
        }
        self._ask(now, search, search.waiting.keys() - {self.node.address})
        if now - search.begun >= RELAY_AFTER_SECONDS:
            self._indirect.ask(now, search)
        asked_for = now - search.asked_at
        if asked_for >= GIVE_BACK_LATEST_SECONDS:
            self._give_back_if_shared(now, flow, search)
        if not self._must_wait(now, search):
            self._continue(now, flow, search)
        if flow not in self._by_flow:
            return
        if asked_for >= GIVE_BACK_AFTER_SECONDS and not self._not_asked(now, search):
            self._give_back_if_shared(now, flow, search)

    def _must_wait(self, now: float, search: Search) -> bool:
        """Return whether an agent that was asked may be about to claim the flow.

        A silent agent is waited for until it would have shown that it runs, a running
        agent until it would have found out whether it owns the flow.
        """
        for address, asked_at in search.waiting.items():
            member = self.roster.by_address.get(address)
            is_running = member is not None and member.status_received_at >= asked_at
            is_running = is_running or address == self.node.address
            if now - asked_at < (
                WAVE_TIMEOUT_SECONDS if is_running else SEARCH_RETRY_SECONDS
            ):
                return True
        return False

    def _schedule_retry(self, now: float, search: Search) -> None:
        """Set when silent agents are asked again."""
        fast = now < search.begun + SEARCH_FAST_RETRY_PHASE_SECONDS
        search.ask_at = now + (
            SEARCH_RETRY_SECONDS if fast else SEARCH_SLOW_RETRY_SECONDS
        )

    def _candidates(self, now: float, search: Search) -> list[Member]:
        """Return the members that may own the flow, at the search's present width."""
        kept = now - search.candidates_at < CANDIDATES_CACHE_SECONDS
        if not kept or search.candidates_epoch != self.roster.epoch:
            search.candidates = self._compute_candidates(now, search)
            search.candidates_at = now
            search.candidates_epoch = self.roster.epoch
        return search.candidates

    def _compute_candidates(self, now: float, search: Search) -> list[Member]:
        flow, zone = search.packet.flow, search.head.zone
        near = self.roster.candidates(now, flow, zone)
        if not search.is_wide:
            return near
        known = {member.address for member in near}
        far = self.roster.wide_candidates(now, flow)
        return near + [member for member in far if member.address not in known]

    def _continue(self, now: float, flow: bytes, search: Search) -> None:
        """Ask the next few agents; end the search if none is left."""
        left = self._not_asked(now, search)
        if not left and not search.is_wide:
            search.is_wide = True
            search.candidates_at = float("-inf")
            left = self._not_asked(now, search)
        if left and search.given_back:
            # Another service is being asked and may have found the owner.
            return
        width = max(WAVE_AGENTS, len(left) // WAVES_LIMIT)
        wave = self.node.rng.sample(left, min(width, len(left)))
        search.wave_at = now
        self._ask(now, search, wave)
        if search.waiting:
            return
        # A silent agent may hold the flow and be cut off only from here.
        unseen = self.roster.unseen(now, self._candidates(now, search))
        unseen = unseen or self._indirect.unconfirmed(now, search)
        if not unseen:
            self._conclude(now, flow, search)
        else:
            self._log_unsure(now, flow, search, unseen)
            self._give_back_if_shared(now, flow, search)

    def _log_unsure(
        self, now: float, flow: bytes, search: Search, unseen: list[str]
    ) -> None:
        """Log, once per search, the silent agents that keep it from ending."""
        if search.is_unsure:
            return
        search.is_unsure = True
        first = self.roster.by_address[unseen[0]]
        self.node.log.event(
            "search.unsure",
            flow=flow,
            packet=search.packet.kind,
            length=search.packet.length,
            denied=len(search.denied),
            unseen=unseen[:LOGGED_NAMES],
            more=max(0, len(unseen) - LOGGED_NAMES),
            members=len(self.roster.by_address),
            silent_for=round(now - first.heard_at, 2),
            heard=first.confirmed,
            vouched=first.heard_by_peer_at > float("-inf"),
        )

    def _not_asked(self, now: float, search: Search) -> list[str]:
        """Return the present candidates that haven't been asked yet."""
        asked = {*search.waiting, *search.denied, self.node.address}
        return [
            member.address
            for member in self._candidates(now, search)
            if member.address not in asked and self._may_answer(now, member.address)
        ]

    def _may_answer(self, now: float, address: str) -> bool:
        """Return whether an answer of a member is worth waiting for."""
        roster = self.roster
        return roster.is_reachable(now, address) and not roster.has_ended(address)

    def _give_back_if_shared(self, now: float, flow: bytes, search: Search) -> None:
        """Give packets back during a search if other services may own the flow."""
        if not self._is_only_service(now, search.head, flow):
            self._give_back_all(now, search, Mark.UNSURE)

    def _ask(self, now: float, search: Search, names: Iterable[str]) -> None:
        for name in sorted(names):
            search.waiting.setdefault(name, now)
            self.node.pass_on(now, search.head, search.packet, name, Mark.SEARCH)

    def _conclude(self, now: float, flow: bytes, search: Search) -> None:
        """End a search that found no owner.

        If no other service can hold the flow, it has ended: its target is gone. Unless
        its client is sent a reset, the client repeats its packets until it times out,
        instead of trying another target.
        """
        packets = self.remove(flow)
        alone = self._is_only_service(now, search.head, flow)
        self._keep(now, search, frozenset())
        self._log_end(search.packet, alone, len(search.denied))
        # The entry is answered even if the packet was given back as unsure before.
        # Otherwise it learns the verdict only with the client's next packet, up to
        # 1.6 s later.
        for head, packet in packets[:1] if alone else packets:
            self._answer(now, head, packet, alone)

    def _log_end(self, packet: Packet, alone: bool, asked: int) -> None:
        self.node.log.event(
            "reset.no_owner" if alone and packet.is_resettable else "drop.no_owner",
            flow=packet.flow,
            packet=packet.kind,
            length=packet.length,
            asked=asked,
            alone=alone,
        )

    def _answer(self, now: float, head: Head, packet: Packet, alone: bool) -> None:
        """Answer a packet of a flow that certainly has no owner here."""
        if not alone:
            self.give_back(now, head, packet, Mark.NONE)
        elif packet.is_resettable:
            reset = self.node.codec.reset(packet.flow, packet.acknowledged)
            self.node.links.to_client(packet.flow, reset)

    # Flows that another service may own

    def _is_only_service(self, now: float, head: Head, flow: bytes) -> bool:
        """Return whether no other service can own a flow.

        That is so if neither the entry nor this agent knows another one. An agent that
        has no configuration, or may lack a former one, leaves the decision to the
        entry.
        """
        node = self.node
        if head.marks & Mark.SHARED or not node.formers.is_complete:
            return False
        return node.candidates(now, flow) == [self.roster.service]

    def _give_back_all(self, now: float, search: Search, marks: int) -> None:
        """Give back, once, the packets that wait for a search."""
        if not search.given_back:
            search.given_back = True
            self.node.log.event(
                "search.given_back",
                flow=search.packet.flow,
                denied=len(search.denied),
                silent=sorted(search.waiting)[:LOGGED_NAMES],
                left=len(self._not_asked(now, search)),
                marks=marks,
            )
            for head, packet in [(search.head, search.packet), *search.held]:
                self.give_back(now, head, packet, marks)
            search.held.clear()

    def give_back(self, now: float, head: Head, packet: Packet, marks: int) -> None:
        """Return a packet to its entry, which may ask another service."""
        if len(self.node.candidates(now, packet.flow)) > 1:
            marks |= Mark.SHARED
        self.node.log.count("packets.unowned")
        self.node.send(
            now,
            head.entry,
            Kind.RETURN,
            packet.raw,
            marks=marks | head.marks & Mark.KNOWN,
            hops=head.hops + 1,
            reason=Reason.UNOWNED,
            service=head.service,
            origin=head,
        )
