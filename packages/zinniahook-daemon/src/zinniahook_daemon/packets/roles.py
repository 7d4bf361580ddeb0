"""The processes of the packet service's two roles, entry and agent."""

from __future__ import annotations

import asyncio
import time

from zinniahook_core.models import Address
from zinniahook_core.packets import Agent, Codec, Entry, Heartbeat, State, Target

from .daemon import Daemon
from .journal import Journal
from .ports import AgentRecord, Settings, Store, StoreUnavailableError
from .watcher import Announcer

__all__ = ["AgentDaemon", "EntryDaemon"]

DRAIN_POLL_SECONDS = 0.05
GRACE_RESERVE_SECONDS = 0.5
"""Seconds of the grace period that a drain leaves unused."""

ROUTER_DETECTION_SECONDS = 1.2
"""Seconds in which routers see two failed readiness probes."""

QUIET_SECONDS = 0.3
"""Seconds without a client's packet after which an entry may stop."""

HANDOVER_SECONDS = 0.3
"""Seconds in which the other daemons learn that an agent is leaving."""

TARGET_CONNECT_TIMEOUT_SECONDS = 0.2
"""Seconds to connect to the target, which runs on the same instance."""

MIN_TARGET_PROBE_SECONDS = 0.05
MAX_TARGET_PROBE_SECONDS = 1.0
"""Longest pause between probes for a process at the target's address. The pause
doubles after each probe that finds none."""


END_CONFIRMATION_SECONDS = 2.0
"""Seconds for which a target may still run after it has reported its end."""


class EntryDaemon(Daemon):
    """The process of an entry."""

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
        """Return a new entry core."""
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
        """Open the socket on which routers deliver clients' packets."""
        self.client_socket = self.udp(self.settings.listen, self._from_client)

    def knows_peers(self, answered: bool) -> bool:
        """Return whether any agent is known; others are looked up on demand."""
        return self.core.is_ready

    def gauges(self, now: float) -> dict[str, float]:
        """Return the gauges that are computed at each scrape."""
        rosters = self.core.rosters_by_service.values()
        return {
            **super().gauges(now),
            "ready": float(self.is_ready),
            "owners_remembered": len(self.core.hints_by_flow),
            "agents_present": sum(len(roster.present(now)) for roster in rosters),
        }

    def to_target(self, raw: bytes) -> None:
        """Raise an error: an entry has no target."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Keep forwarding until the routers no longer send packets here."""
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
    """The process of an agent."""

    core: Agent
    _announcer: Announcer | None = None

    def make_core(self) -> Agent:
        """Return a new agent core."""
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
        """Open the target's socket, and start to announce the agent."""
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
        """Return whether the store has listed the peers.

        It isn't enough to know some peers. If the store's answer got lost, this agent
        would never learn of agents that announced themselves earlier, and homes that
        don't know each other's owners would reset their flows.
        """
        return answered

    def needs_renewal(self, era: int) -> bool:
        """Return whether the agent was last announced in an earlier era."""
        return self._announcer is not None and self._announcer.needs_renewal(era)

    def renewed_items(self) -> list[str]:
        """Return what this daemon writes again after a restore of the store."""
        return ["announcement"]

    async def renew(self, era: int, revision: int) -> None:
        """Announce the agent again, and remove peers that have ended.

        If a peer withdrew in the seconds that the store has lost, the restored copy
        still lists it, but its process is gone. If its key stayed, a starting
        daemon would query that peer, and wait for its answer before it ends a flow
        without an owner. Only the present agent with the lowest address removes
        peers.
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
        """Remove a peer's key if it dates from the restored copy.

        A process that runs at that address has written its key again at a later
        revision. The removal is tried once: a key that stays only costs a starting
        daemon one query.
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
        """Return the gauges that are computed at each scrape."""
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
            "work_promised": core.membership.work.expected_busy,
            "openings_held": core.home.openings_held,
            **core.home.room.gauges(),
            **self._health_gauges(now),
        }

    def _health_gauges(self, now: float) -> dict[str, float]:
        """Return the health and capacity gauges that are enabled for the target."""
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
        """Send a packet to the target."""
        self.client_socket.send(raw, tuple(self.settings.target))

    def heartbeat(self, beat: Heartbeat, address: Address, data_centre: str) -> bool:
        """Handle a heartbeat; return False if it isn't the target's.

        ``address`` and ``data_centre`` are where its sender claims to run. The target
        runs on this instance only.
        """
        settings = self.settings
        if (address, data_centre) != (settings.target, settings.data_centre):
            self.journal.event(
                "heartbeat.elsewhere", target=beat.target, address=str(address)
            )
            return False
        if beat.born is not None:
            beat = beat._replace(age=time.time() - beat.born / 1000)
        return self.core.heartbeat(time.monotonic(), beat)

    def target_ended(self, target: str, born: int | None) -> None:
        """Handle the target's notice that it has ended.

        If it isn't certain that the running target sent it, nothing changes before the
        target's address refuses connections.
        """
        if self.core.note_ended(time.monotonic(), target, born):
            return
        if self.core.target.may_have_ended(target, born):
            self.start(self._confirm_end(self.core.target.name))

    async def _confirm_end(self, name: str) -> None:
        """Wait for a while until the target no longer runs."""
        until = time.monotonic() + END_CONFIRMATION_SECONDS
        while time.monotonic() < until and self.core.target.name == name:
            if await self._is_target_listening() is False:
                self.core.note_vanished(time.monotonic())
                return
            await asyncio.sleep(MIN_TARGET_PROBE_SECONDS)

    async def drain(self) -> None:
        """Hand over new openings, and stop when no request is in progress.

        A process that replaces this one continues open flows. Packets that the
        target sends in between are delayed until the new process runs.
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
        self.core.announce_end(time.monotonic())
        if gone:
            await self._announcer.withdraw(self.core.evacuations.era)

    async def _wait_for_target(self) -> None:
        """Probe for the target until it runs or has sent a heartbeat."""
        pause = MIN_TARGET_PROBE_SECONDS
        await asyncio.sleep(pause)
        while not await self._probe_target():
            await asyncio.sleep(pause)
            pause = min(MAX_TARGET_PROBE_SECONDS, 2 * pause)

    async def _probe_target(self) -> bool:
        """Check whether a target that hasn't sent a heartbeat runs at all.

        An address that refuses connections has no process. Without this check, an
        instance that comes back without its target and is removed at once would keep
        its peers from ending flows for seconds, as it might hold them.

        Returns
        -------
        bool
            Whether a process accepts connections at the address or has sent a
            heartbeat. False if the connection attempt fails.
        """
        if self.core.target.is_known:
            return True
        is_listening = await self._is_target_listening()
        if is_listening is False:
            if not self.core.target.gone:
                self.journal.event("target.absent", outcome="nothing is held here")
            self.core.note_absent(time.monotonic())
        elif is_listening:
            self.core.note_appeared(time.monotonic())
        return bool(is_listening)

    async def _is_target_listening(self) -> bool | None:
        """Return whether a process listens at the target's address, None if unknown."""
        try:
            connection = asyncio.open_connection(*self.settings.target)
            _, writer = await asyncio.wait_for(
                connection, TARGET_CONNECT_TIMEOUT_SECONDS
            )
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError):
            return None
        writer.close()
        return True

    def _from_target(self, data: bytes, source: tuple) -> None:
        self.core.from_target(time.monotonic(), data)
