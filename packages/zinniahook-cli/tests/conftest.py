"""Fixtures: a fake store and sessions of operators with certificates."""

import asyncio

import pytest
from zinniahook_cli.sessions import Session
from zinniahook_cli.settings import ClientSettings
from zinniahook_core.models import Address
from zinniahook_store import Store
from zinniahook_testkit import stores
from zinniahook_testkit.certificates import Authority

FIRST = """
[operators.amina]
services = ["*"]
keys = true
operators = true

[operators.moussa]
services = ["tally"]

[services.tally]
number = 1
address = "127.0.0.1:4433"
[services.tally.classes.ticket]
prefix = "/ticket"

[services.ledger]
number = 2
address = "127.0.0.1:4434"
[services.ledger.classes.export]
prefix = "/"
"""


@pytest.fixture(scope="session")
def store_process():
    with stores.start() as process:
        yield process


@pytest.fixture(scope="session")
def authority(tmp_path_factory):
    return Authority(tmp_path_factory.mktemp("certificates"))


@pytest.fixture
def store(store_process):
    """Return the fake store, emptied and without injected faults."""
    store_process.set_faults(outage="", lose=0, lose_prefix="", late=0.0, delay=0.0)
    asyncio.run(clear(store_process.address))
    return store_process


async def clear(address):
    client = Store([address], 5.0)
    for item in await client.range("/zinniahook/"):
        await client.delete(item.key)
    client.close()


@pytest.fixture
def session_of(store, authority):
    """Return a function that makes the session of a named operator."""

    def make(name="amina", timeout=2.0, **flags):
        files = authority.issue(name)
        settings = ClientSettings((Address.parse(store.address),), *files, timeout, 5.0)
        said = []
        client = Store(settings.store, timeout)
        session = Session(settings, client, said.append, **flags)
        session.said = said
        return session

    return make


@pytest.fixture
def first(tmp_path):
    """Return the statement that commits the first generation."""
    (tmp_path / "first.toml").write_text(FIRST)
    return f"apply {tmp_path / 'first.toml'}"
