"""The two roles of the packet service as processes."""

from __future__ import annotations

import asyncio
import time

from zinniahook_core.packets import Agent, Beat, Codec, Entry, State, Target

from .daemon import Daemon
from .journal import Journal
from .ports import AgentRecord, Settings, Store, StoreUnavailableError
from .watcher import Announcer

__all__ = ["AgentDaemon", "EntryDaemon"]

DRAIN_POLL_SECONDS = 0.05
GRACE_RESERVE_SECONDS = 0.5
"""Seconds of the grace period that stay unused."""

ROUTER_DETECTION_SECONDS = 1.2
"""Seconds until routers have seen two failed probes of readiness."""

QUIET_SECONDS = 0.3
"""Seconds without a client's packet after which an entry may end."""

HANDOVER_SECONDS = 0.3
"""Seconds in which the others learn that an agent leaves."""


TARGET_CONNECT_TIMEOUT_SECONDS = 0.2
"""Seconds for a connection to the target, on the same instance."""

MIN_TARGET_PROBE_SECONDS = 0.05
MAX_TARGET_PROBE_SECONDS = 1.0
"""Seconds between two looks whether a process runs where the target should: twice
as long after each that finds none."""


class EntryDaemon(Daemon):
    """An entry as a process."""

    core: Entry

    def __init__(
        self,
        settings: Settings,
        store: Store,
        codec: Codec,
        journal: Journal | None = None,
    ) -> None:
        super().__init__(settings, store, codec, journal)
        self._leaving = False

    @property
    def is_ready(self) -> bool:
        """Whether routers should send packets here."""
        return self.core.is_ready and not self._leaving

    def make_core(self) -> Entry:
        """Return the core."""
        return Entry(
            self.settings.address,
            self.settings.data_centre,
            self.codec,
            self,
            self.journal,
            self.rng,
            self.settings.features,
        )

    def open(self) -> None:
        """Open the socket that routers send to."""
        self.client_socket = self.udp(self.settings.listen, self._from_client)

    def knows_peers(self, answered: bool) -> bool:
        """Tell whether any agent is known; others are looked up when needed."""
        return self.core.is_ready

    def gauges(self, now: float) -> dict[str, float]:
        """Return what is measured at the moment of a scrape."""
        rosters = self.core.rosters_by_service.values()
        return {
            **super().gauges(now),
            "ready": float(self.is_ready),
            "owners_remembered": len(self.core.hints_by_flow),
            "agents_present": sum(len(roster.present(now)) for roster in rosters),
        }

    def to_target(self, raw: bytes) -> None:
        """Entries have no target."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Stay until the routers have moved on."""
        self._leaving = True
        began = time.monotonic()
        until = began + self.settings.grace - GRACE_RESERVE_SECONDS
        while time.monotonic() < until:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            now = time.monotonic()
            quiet = now - self.core.last_client_at > QUIET_SECONDS
            if quiet and now - began > ROUTER_DETECTION_SECONDS:
                return

    def _from_client(self, data: bytes, source: tuple) -> None:
        self.core.client(time.monotonic(), data)


class AgentDaemon(Daemon):
    """An agent as a process."""

    core: Agent
    _announcer: Announcer | None = None

    def make_core(self) -> Agent:
        """Return the core."""
        target = Target(self.settings.service, self.settings.beat_interval)
        return Agent(
            self.settings.address,
            self.settings.data_centre,
            self.codec,
            self,
            self.journal,
            self.rng,
            target,
            time.time_ns() // 1_000_000,
            self.settings.cold_limit,
            self.settings.features,
        )

    def open(self) -> None:
        """Open the socket that the target sends to, and announce the agent."""
        settings = self.settings
        self._record = AgentRecord(
            settings.service, settings.address, settings.data_centre
        )
        self._announcer = Announcer(self.store, self._record, self.rng)
        self.client_socket = self.udp(settings.outbound, self._from_target)
        self.core.start(time.monotonic())
        self.start(self._announcer.run())
        self.start(self._wait_for_target())

    def knows_peers(self, answered: bool) -> bool:
        """Tell whether the store has listed the peers.

        What goes wrong if it is enough to know some: the one answer of the store got
        lost, agents that announced themselves before are never heard of, and homes
        that don't know each other's owners reset their flows.
        """
        return answered

    def needs_renewal(self, era: int) -> bool:
        """Tell whether the agent was announced in an earlier era alone."""
        return self._announcer is not None and self._announcer.needs_renewal(era)

    def renewed_items(self) -> list[str]:
        """Return what this daemon writes again once the store was restored."""
        return ["announcement"]

    async def renew(self, era: int, revision: int) -> None:
        """Announce the agent again, and take out peers that have ended.

        A peer that withdrew in the seconds that the store lost is announced
        again in the copy, and its process is gone. What goes wrong if it stays:
        a daemon that starts asks it, and waits for its answer before it ends a
        flow that nobody owns.
        """
        if await self._announcer.renew(era):
            self.journal.event("announcement.renewed", era=era)
        if min(self.core.roster.present(time.monotonic()), default="") != (
            self.settings.address
        ):
            return
        for address, member in list(self.core.roster.by_address.items()):
            if member.state is State.ENDED and address != self.settings.address:
                await self._remove_peer(address, era, revision)

    async def _remove_peer(self, address: str, era: int, revision: int) -> None:
        """Take a peer out whose key is the copy's.

        A process that runs there has written its key again meanwhile, at a later
        revision. One try: what stays costs a question at the next start.
        """
        peer = AgentRecord(self.settings.service, address, "")
        try:
            written = await self.store.last_write(peer)
            if written is None or written.era != era or written.revision > revision:
                return
            await self.store.withdraw(peer, written.revision)
        except StoreUnavailableError as error:
            self.journal.event("takeout.failed", peer=address, error=str(error))
            return
        self.journal.event("announcement.removed", peer=address, era=era)

    def gauges(self, now: float) -> dict[str, float]:
        """Return what is measured at the moment of a scrape."""
        core = self.core
        return {
            **super().gauges(now),
            "target_state": float(core.membership.state(now)),
            "flows": len(core.flows),
            "requests_in_progress": core.flows.busy,
            "openings_waiting": len(core.openings.waiting),
            "requests_held": len(core.queue),
            "request_held_longest_seconds": core.queue.longest(now),
            "pointers": core.home.pointers,
            "verdicts": core.home.verdicts,
            "agents_present": len(core.roster.present(now)),
            "work_promised": core.membership.work.promise,
            "openings_held": core.home.openings_held,
            **core.home.room.gauges(),
            **self._health_gauges(now),
        }

    def _health_gauges(self, now: float) -> dict[str, float]:
        """Return what the target's answers show, where it is judged by them."""
        target, gauges = self.core.target, {}
        if target.health is not None:
            gauges["target_failed_share"] = target.health.failed_share()
            gauges["target_trust"] = target.health.trust(now)
        if target.capacity is not None:
            gauges["target_slots_told"] = target.slots
            gauges["target_slots_learned"] = target.usable_slots
            gauges["target_cold_factor"] = target.capacity.cold or 0.0
        return gauges

    def to_target(self, raw: bytes) -> None:
        """Give a packet to the target."""
        self.client_socket.send(raw, tuple(self.settings.target))

    def beat(self, beat: Beat) -> bool:
        """Take a heartbeat of the target; return False if it can't be one."""
        return self.core.beat(time.monotonic(), beat)

    def left(self, target: str, born: int | None) -> None:
        """Take that the target has ended."""
        self.core.left(time.monotonic(), target, born)

    async def drain(self) -> None:
        """Hand openings over, and end at a moment without a request.

        A process that starts in this one's place can go on with open flows,
        but what the target sends meanwhile is late by the time that takes.
        """
        began = time.monotonic()
        self.core.leave(began)
        until = began + self.settings.grace - GRACE_RESERVE_SECONDS
        await self._probe_target()
        gone = self.core.target.gone
        while time.monotonic() < until:
            await asyncio.sleep(DRAIN_POLL_SECONDS / 5)
            has_handed_over = gone or time.monotonic() - began > HANDOVER_SECONDS
            if has_handed_over and not self.core.flows.busy:
                break
        self.core.farewell(time.monotonic())
        if gone:
            await self._announcer.withdraw(self.core.evacuations.era)

    async def _wait_for_target(self) -> None:
        """Look for the target until it runs, or has told of itself."""
        pause = MIN_TARGET_PROBE_SECONDS
        await asyncio.sleep(pause)
        while not await self._probe_target():
            await asyncio.sleep(pause)
            pause = min(MAX_TARGET_PROBE_SECONDS, 2 * pause)

    async def _probe_target(self) -> bool:
        """Find out whether a target that was never seen runs at all.

        What goes wrong without: an instance comes back without its target and is
        taken away at once; for seconds its peers end no flow, as it might hold
        them. An address that refuses connections has no process.

        Returns
        -------
        bool
            Whether a process accepts connections there, or has told of itself.
        """
        if self.core.target.is_known:
            return True
        try:
            connection = asyncio.open_connection(*self.settings.target)
            _, writer = await asyncio.wait_for(
                connection, TARGET_CONNECT_TIMEOUT_SECONDS
            )
            writer.close()
        except ConnectionRefusedError:
            if not self.core.target.gone:
                self.journal.event("target.absent", outcome="nothing is held here")
            self.core.absent(time.monotonic())
            return False
        except (OSError, TimeoutError):
            return False
        self.core.appeared(time.monotonic())
        return True

    def _from_target(self, data: bytes, source: tuple) -> None:
        self.core.from_target(time.monotonic(), data)
