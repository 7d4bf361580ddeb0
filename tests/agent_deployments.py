"""Entries, agents and targets run as real processes, for the tests of agents."""

from __future__ import annotations

import asyncio
import contextlib
import json
import urllib.request
from collections.abc import Callable
from pathlib import Path

import tomli_w
from zinniahook_caller import Session
from zinniahook_core.configuration import parse
from zinniahook_core.models import Address, AgentState
from zinniahook_store import Store
from zinniahook_store.configurations import Committed, commit, new_operation, read
from zinniahook_testkit import processes, stores
from zinniahook_testkit.certificates import Authority
from zinniahook_wire.rosters import roster_from_json, roster_key

TIMEOUT_SECONDS = 30.0
ENTRY_HOSTS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")

CONFIGURATION = """
[services.tally]
number = 1
address = "{address}"
protocol = "quic"
drain = 20.0

[services.tally.classes.feed]
prefix = "/tally/feed"
slots = 0

[services.tally.classes.ledger]
prefix = "/ledger"
slots = 1
deadline = 20.0

[services.tally.classes.ticket]
prefix = "/tickets"
slots = 1

[services.pulse]
number = 2
address = "{pulse}"
protocol = "udp"
"""


class Member:
    """A target and the agent in front of it."""

    def __init__(self, target: processes.Process, agent: processes.Process) -> None:
        self.target = target
        self.agent = agent

    def ledger(self) -> dict:
        """Return the target's own record of the requests that it ran."""
        admin = self.target.ready["admin"]
        with urllib.request.urlopen(f"http://{admin}/ledger-of-runs") as answer:
            return json.load(answer)


class Deployment:
    """Three entries and some agents on one host."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.authority = Authority(folder)
        self.files = self.authority.issue("daemon")
        self.members: list[Member] = []
        self.entries: list[processes.Process] = []
        self.stack = contextlib.ExitStack()
        self.store = self.stack.enter_context(stores.start())
        self.addresses_by_service = self.start(
            "zinniahook_testkit.fabric",
            json.dumps({"services": ["tally", "pulse"], "entries": list(ENTRY_HOSTS)}),
        ).ready["services"]
        asyncio.run(self.configure())

    def start(self, module: str, *args: object) -> processes.Process:
        process = self.stack.enter_context(processes.start(module, *args))
        # A graceful shutdown of all processes in turn would take minutes.
        self.stack.callback(process.kill)
        return process

    async def configure(self) -> None:
        store = Store((Address.parse(self.store.address),), 5.0)
        text = CONFIGURATION.format(
            address=self.addresses_by_service["tally"],
            pulse=self.addresses_by_service["pulse"],
        )
        base = await read(store)
        outcome = await commit(store, base, parse(text), "test", new_operation())
        assert isinstance(outcome, Committed), outcome

    def start_daemon(self, name: str, **sections: object) -> processes.Process:
        settings = {
            "name": name,
            "data_centre": "thies-1",
            "store": {"addresses": [self.store.address]},
            "tunnel": {"address": "127.0.0.1:0"},
            "control": {
                "address": "127.0.0.1:0",
                "certificate": str(self.files.certificate),
                "key": str(self.files.key),
                "authority": str(self.files.authority),
            },
            **sections,
        }
        file = self.folder / f"{name}.toml"
        file.write_text(tomli_w.dumps(settings))
        return self.start("zinniahook_daemon.main", "--settings", file)

    def start_entry(self, number: int) -> processes.Process:
        name = f"entry-{number}"
        return self.start_daemon(
            name, role="entry", entry={"bind_host": ENTRY_HOSTS[number]}
        )

    def add_member(
        self, name: str, service: str = "tally", **behaviour: object
    ) -> Member:
        target = self.start(
            "zinniahook_testkit.target",
            json.dumps({"service": service, "name": name, "behaviour": behaviour}),
        )
        member = Member(target, self.start_agent(name, target, service))
        self.members.append(member)
        return member

    def start_agent(
        self, name: str, target: processes.Process, service: str = "tally"
    ) -> processes.Process:
        settings = {
            "service": service,
            "target": target.ready["udp" if service == "pulse" else "target"],
            "slots": 4,
            "certificate": str(self.files.certificate),
            "key": str(self.files.key),
        }
        return self.start_daemon(name, role="agent", agent=settings)

    def session(self) -> Session:
        return Session(
            self.addresses_by_service["tally"],
            ca=str(self.files.authority),
            server_name="localhost",
        )

    def stored_member(self, name: str) -> tuple[AgentState, int] | None:
        """Return an agent's state and incarnation from the roster in the store."""

        async def read_member() -> tuple[AgentState, int] | None:
            store = Store((Address.parse(self.store.address),), 5.0)
            item = await store.get(roster_key("tally"))
            if item is None:
                return None
            roster = roster_from_json("tally", item.revision, item.value)
            member = roster.by_name.get(name)
            return member and (member.state, member.incarnation)

        return asyncio.run(read_member())

    def total_count(self, name: str) -> int:
        return sum(member.ledger()["counts"].get(name, 0) for member in self.members)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll a condition on other processes until it holds.

    The processes send no notification that could replace the polling.
    """
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not await asyncio.to_thread(condition):
            await asyncio.sleep(0.05)
