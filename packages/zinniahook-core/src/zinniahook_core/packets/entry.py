"""The entry: sends each packet of a client to the agent that it belongs to.

An entry decides nothing about a flow. Openings go to the flow's home among the agents
of the service. Later packets go to the owner that an agent has reported, otherwise to
the home. An entry only caches owners: it may be restarted, and any other entry may get
the next packet.
"""

from __future__ import annotations

import itertools
import random
from typing import Any

from . import tunnel
from .buffers import PacketBuffer
from .features import Features
from .formers import FormerService
from .lookups import KNOWN_REPEAT_SECONDS, REPEAT_SECONDS, PendingLookup, PendingLookups
from .members import ENTRY_ANSWER_TIMEOUT_SECONDS, Roster
from .models import Codec, Links, Log, Packet, Routes, route_key
from .node import HOP_LIMIT, Node
from .questions import Questions
from .tunnel import Head, HelloRequest, Kind, Mark, Reason, tag, zone_tag

__all__ = ["Entry"]

HINTS_LIMIT = 65536
"""Owners remembered: four times the flows of an entry at the design size (120 million
over 7,300 entries), 16 MB."""

HELLO_AGENTS_LIMIT = 16
"""Agents of a service that an entry asks for their status when it learns of them.
Otherwise it uses agents without a target, or agents that are gone, as homes until
packets are lost there. It learns the status of further agents when it sends to them."""

KEEP_ALIVE_INTERVAL_SECONDS = 0.5
"""Seconds between hellos to a few agents while no client sends, so that the entry's
configuration stays fresh."""

HOME_TRUST_SECONDS = 0.7
"""Seconds since a home was heard for which copies of an opening go there too. A home
answers an entry that sends packets every 0.6 s."""

ROSTERS_SENT_LIMIT = 32
"""Services whose rosters are sent to a daemon that starts, in one datagram. It looks up
further services when it needs them."""

KEEP_ALIVE_AGENTS = 3
NEIGHBOUR_HEARD_WITHIN_SECONDS = 10.0


OWNER_SETTLED_SECONDS = 1.0
"""Seconds after an owner was learned during which a service that gives the flow back
merely hasn't heard of it: longer than a search keeps packets."""


class Entry(Node):
    """An entry; the parameters are those of `Node`."""

    def __init__(
        self,
        address: str,
        data_centre: str,
        codec: Codec,
        links: Links,
        log: Log,
        rng: random.Random,
        features: Features = Features(),  # noqa: B008 - immutable
    ) -> None:
        super().__init__(address, data_centre, codec, links, log, rng, features)
        self.rosters_by_service: dict[str, Roster] = {}
        self._names_by_tag: dict[int, str] = {}
        self.hints_by_flow: dict[bytes, str] = {}
        self.questions = Questions()
        self.last_client_at = float("-inf")
        self._holding = PacketBuffer()
        self._unanswered = PendingLookups()
        self._settled_at_by_flow: dict[bytes, float] = {}
        self._kept_alive_at = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Whether packets can be routed at all."""
        known = any(r.by_address for r in self.rosters_by_service.values())
        return self.routes.version > 0 and known

    @property
    def held(self) -> int:
        """The number of packets held for agents that were never heard."""
        return len(self._holding)

    def members(
        self,
        now: float,
        service: str,
        address: str,
        centre: str,
        order: int | None = None,
    ) -> None:
        """Add an agent that the store lists."""
        roster = self._roster(service)
        if (
            address not in roster.by_address
            and len(roster.by_address) < HELLO_AGENTS_LIMIT
        ):
            self.hello(now, address)
        roster.add(now, address, zone_tag(centre))

    def neighbours(self, now: float) -> list[str]:
        """Return the agents heard recently, in random order."""
        addresses = [
            member.address
            for roster in self.rosters_by_service.values()
            for member in roster.by_address.values()
            if now - member.heard_at < NEIGHBOUR_HEARD_WITHIN_SECONDS
        ]
        self.rng.shuffle(addresses)
        return addresses

    def client(self, now: float, raw: bytes) -> None:
        """Route a packet from a client."""
        packet = self.codec.from_client(raw)
        if packet is None:
            self.log.count("packets.malformed")
            return
        self.last_client_at = now
        if not packet.is_bare:
            # The repeats of this packet are counted anew.
            self._unanswered.take(packet.flow)
        self._route(now, packet, None)

    def handle(self, now: float, sender: str, head: Head, body: bytes) -> None:
        """Handle a datagram from an agent or another entry."""
        self._heard(now, sender, head.service)
        if head.kind is Kind.OWNER:
            self._learn_owner(now, sender, body)
        elif head.kind is Kind.RETURN:
            self._returned(now, sender, head, body)
        elif head.kind is Kind.STATUS:
            self._status(now, sender, head, body)
        elif head.kind is Kind.ROSTER:
            self._learn_members(now, body)
        elif head.kind is Kind.HELLO and head.reason == HelloRequest.MEMBERS:
            self.send(now, sender, Kind.ROSTER, tunnel.encode_rosters(self._rows(now)))

    def tick(self, now: float) -> None:
        """Handle everything that is due; to be called about twenty times a second."""
        self.formers.tick(now)
        for roster in self.rosters_by_service.values():
            for address in roster.hellos_due(now):
                self.hello(now, address)
            if roster.is_due(now):
                self._review(now, roster)
        for address in self._holding.addresses:
            self.hello(now, address)
        self._holding.expire(now)
        self._ask_again(now)
        self._forget_settled(now)
        if now - self._kept_alive_at >= KEEP_ALIVE_INTERVAL_SECONDS:
            self._kept_alive_at = now
            for address in self.neighbours(now)[:KEEP_ALIVE_AGENTS]:
                self.hello(now, address)

    def _review(self, now: float, roster: Roster) -> None:
        changes = roster.refresh(now)
        if changes.arrived or changes.departed:
            self.log.event("roster", service=roster.service, **changes.log_fields())
        for address in [*roster.probes_due(now), *roster.lost.due(now)]:
            self.hello(now, address)

    def _roster(self, service: str) -> Roster:
        roster = self.rosters_by_service.get(service)
        if roster is None:
            roster = self.rosters_by_service[service] = Roster(service)
        return roster

    def _rows(self, now: float) -> dict[str, Any]:
        """Return the rosters for a daemon that has just started."""
        rosters = itertools.islice(self.rosters_by_service.items(), ROSTERS_SENT_LIMIT)
        return {service: roster.rows(now) for service, roster in rosters}

    def _heard(self, now: float, sender: str, service: int) -> None:
        """Note that an agent was heard in the service that its datagram names."""
        name = self._names_by_tag.get(service, "")
        roster = self.rosters_by_service.get(name)
        member = roster.by_address.get(sender) if roster else None
        if member is not None:
            member.heard(now)

    # Packets

    def _route(self, now: float, packet: Packet, head: Head | None) -> None:
        route = self.routes.by_address.get(route_key(packet.flow))
        if route is None:
            self._handle_unrouted(packet)
            return
        if packet.is_opening:
            self.hints_by_flow.pop(packet.flow, None)
            self._settled_at_by_flow.pop(packet.flow, None)
            self._forget_questions(packet.flow)
            service = route.services(packet.flow)[0]
            self._forward_home(now, packet, service, Mark.NONE, head)
            return
        services = self.candidates(now, packet.flow)
        owner = self.hints_by_flow.get(packet.flow)
        if owner is not None and self._forward_hinted(now, packet, owner, services):
            return
        single = len(services) == 1 and self.formers.is_complete
        if single and packet.flow not in self.questions:
            self._forward_home(now, packet, services[0], Mark.NONE, head)
        else:
            self._ask(now, packet, services, head)

    def _ask(
        self, now: float, packet: Packet, services: list[str], head: Head | None
    ) -> None:
        """Ask one of several services for the owner of a flow."""
        while question := self.questions.next(now, packet, services):
            service, marks = question
            if packet.is_bare and not marks & Mark.KNOWN:
                self.log.count("packets.not_searched")
                return
            if self._forward_home(now, packet, service, marks, head):
                known = bool(marks & Mark.KNOWN)
                after = KNOWN_REPEAT_SECONDS if known else REPEAT_SECONDS
                self._unanswered.keep(now, packet, after)
                return
            self.questions.unowned(now, packet, service, marks | Mark.UNSURE)
        self._end_unowned(now, packet, services)

    def _ask_again(self, now: float) -> None:
        for asked in self._unanswered.due(now):
            self._route(now, asked.packet, None)
            self._unanswered.restore_begun(asked)

    def _forget_settled(self, now: float) -> None:
        for flow, at in list(self._settled_at_by_flow.items()):
            if now - at < OWNER_SETTLED_SECONDS:
                break
            del self._settled_at_by_flow[flow]

    def _end_unowned(self, now: float, packet: Packet, services: list[str]) -> None:
        """End a flow that no service owns.

        It is reset only if no former service can be missing here: otherwise the flow
        may live at one, and its client would be reset.
        """
        sure = self.questions.is_sure(packet.flow) and self.formers.is_complete
        ended = sure and packet.is_resettable
        self.log.event(
            "reset.no_owner" if ended else "drop.no_owner",
            flow=packet.flow,
            packet=packet.kind,
            length=packet.length,
            services=services,
            unsure=self.questions.unsure(packet.flow),
            version=self.routes.version,
        )
        if ended:
            reset = self.codec.reset(packet.flow, packet.acknowledged)
            self.links.to_client(packet.flow, reset)
        elif not sure:
            # A search that was given back continues only if it is asked again.
            self.questions.forget(packet.flow)
            self._unanswered.keep(now, packet, REPEAT_SECONDS)

    def _handle_unrouted(self, packet: Packet) -> None:
        version = self.routes.version
        if not version or self.may_lack_routes:
            # It isn't reset: its route may have been added in the seconds that the
            # store has lost, and its target lives.
            self.log.count("packets.before_configuration")
            return
        self.log.event("reset.no_route", flow=packet.flow, version=version)
        self.hints_by_flow.pop(packet.flow, None)
        self.links.to_client(
            packet.flow, self.codec.reset(packet.flow, packet.acknowledged)
        )

    def _forward_hinted(
        self, now: float, packet: Packet, owner: str, services: list[str]
    ) -> bool:
        for service in services:
            roster = self._roster(service)
            member = roster.by_address.get(owner)
            if member is None or roster.is_silent(now, member):
                continue
            if roster.has_ended(owner):
                continue
            self._forward(now, packet, roster, owner, Mark.HINTED, None)
            return True
        return False

    def _forward_home(
        self, now: float, packet: Packet, service: str, marks: int, head: Head | None
    ) -> bool:
        """Send a packet to its home in a service; return whether there is one."""
        roster = self._roster(service)
        homes = roster.homes(now, packet.flow)
        if not homes:
            self.log.event("drop.no_agent", flow=packet.flow, service=service)
            self.links.lookup(service)
            return False
        home = homes[0]
        if packet.is_opening and packet.acknowledged:
            # A copy of an opening suggests that the first home is gone.
            heard = roster.by_address[home].heard_at
            if now - heard > HOME_TRUST_SECONDS:
                home = homes[packet.acknowledged % len(homes)]
        self._forward(now, packet, roster, home, marks, head)
        return True

    def _forward(
        self,
        now: float,
        packet: Packet,
        roster: Roster,
        address: str,
        marks: int,
        head: Head | None,
    ) -> None:
        roster.expect_answer(now, address)
        hops = head.hops + 1 if head else 0
        service = tag(roster.service)
        self.log.count("packets.forwarded")
        if not roster.by_address[address].has_reported and not hops:
            self._holding.add(now, address, packet)
        self.send(
            now,
            address,
            Kind.FORWARD,
            packet.raw,
            marks=marks,
            hops=hops,
            service=service,
        )

    def _release(self, now: float, address: str) -> None:
        """Route the packets held for an agent again.

        They aren't sent straight to it, as its address may serve another service by
        now.
        """
        lost = self._holding.release(now, address)
        if lost:
            self.log.event("held.released", agent=address, packets=len(lost))
        for packet in lost:
            self._route(now, packet, None)

    # Datagrams from agents

    def _learn_owner(self, now: float, sender: str, body: bytes) -> None:
        """Set the owner of flows; a sender that isn't the owner can't reach it."""
        decoded = tunnel.decode_owner(body)
        if decoded is None:
            self.log.count("datagrams.malformed")
            return
        owner, flows = decoded
        for flow in flows:
            self.hints_by_flow.pop(flow, None)
            self.hints_by_flow[flow] = owner
            if flow in self.questions:
                self._settled_at_by_flow.pop(flow, None)
                self._settled_at_by_flow[flow] = now
            asked = self._forget_questions(flow)
            if asked is not None and sender != owner:
                self._route(now, asked.packet, None)
        while len(self.hints_by_flow) > HINTS_LIMIT:
            del self.hints_by_flow[next(iter(self.hints_by_flow))]

    def _forget_questions(self, flow: bytes) -> PendingLookup | None:
        self.questions.forget(flow)
        return self._unanswered.take(flow)

    def _returned(self, now: float, sender: str, head: Head, body: bytes) -> None:
        packet = self.codec.from_client(body)
        if packet is not None and head.reason == Reason.UNOWNED:
            self._given_back(now, sender, head, packet)
            return
        if packet is None or head.hops >= HOP_LIMIT:
            self.log.count("packets.returned_dropped")
            return
        self.hints_by_flow.pop(packet.flow, None)
        if head.reason == Reason.WRONG_SERVICE:
            self._drop_member(sender, head.service)
        self._route(now, packet, head)

    def _given_back(self, now: float, sender: str, head: Head, packet: Packet) -> None:
        """Ask the next service with a packet that a service doesn't own.

        The packet starts with zero hops again, as each answer leaves fewer services to
        ask. An owner learned meanwhile is kept: the link between it and the home may be
        cut, so that the home never hears of it, and other services would be searched.
        """
        if self._is_settled(now, packet.flow):
            self._route(now, packet, None)
            return
        self.hints_by_flow.pop(packet.flow, None)
        services = self.candidates(now, packet.flow)
        service = self._names_by_tag.get(head.service)
        if service not in services:
            self.log.count("packets.returned_dropped")
        elif head.marks & Mark.SHARED and len(services) == 1:
            # The home knows a former service that this entry doesn't know.
            self.links.fetch(sender)
        else:
            self.questions.unowned(now, packet, service, head.marks)
            self._ask(now, packet, services, None)

    def _is_settled(self, now: float, flow: bytes) -> bool:
        """Return whether the owner was learned while services were asked for it."""
        at = self._settled_at_by_flow.get(flow)
        return (
            at is not None
            and now - at < OWNER_SETTLED_SECONDS
            and flow in self.hints_by_flow
        )

    def _drop_member(self, address: str, keep: int) -> None:
        """Drop an agent from the rosters of services that it doesn't serve.

        Otherwise, when an address is reused by a target of another service, openings of
        the former service are still sent there.
        """
        for roster in self.rosters_by_service.values():
            if tag(roster.service) == keep:
                continue
            is_member = address in roster.by_address
            roster.drop(address)
            if is_member:
                self.log.event("member.moved", service=roster.service, agent=address)

    def _learn_members(self, now: float, body: bytes) -> None:
        for service, rows in self.read_rosters(body).items():
            for address, zone, age in rows:
                if age is not None and age >= ENTRY_ANSWER_TIMEOUT_SECONDS:
                    continue
                roster = self._roster(service)
                member = roster.add(now, address, zone)
                if age is not None and roster.is_silent(now, member):
                    # A peer hears it: it is back, or only the link was cut.
                    member.probe_at = now

    def _status(self, now: float, sender: str, head: Head, body: bytes) -> None:
        status = tunnel.decode_status(body)
        service = self._names_by_tag.get(head.service)
        if status is None or service is None:
            self.log.count("statuses.unknown")
            return
        roster = self._roster(service)
        known = sender in roster.by_address
        roster.learn(now, sender, head.zone, status)
        if not known:
            self._drop_member(sender, head.service)
        self._release(now, sender)

    def configure(
        self,
        now: float,
        routes: Routes,
        reported: list[FormerService] | None = None,
        whole: bool = True,
    ) -> bool:
        """Apply a configuration; see `Node.configure`."""
        installed = super().configure(now, routes, reported, whole)
        if installed or reported:
            self._names_by_tag = {tag(name): name for name in self._services()}
        return installed

    def _services(self) -> set[str]:
        """Return the services whose agents may own flows."""
        names = self.formers.services()
        for route in self.routes.by_address.values():
            names |= route.names
        return names
