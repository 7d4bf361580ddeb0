"""The two current deployments as data: services, sizes and latencies."""

from __future__ import annotations

from typing import NamedTuple

from zinniahook_core.models import RequestClass

from .loads import LoadPlan
from .target import Behaviour

__all__ = ["DEPLOYMENTS_BY_NAME", "Deployment", "ServicePlan"]

MEGABYTE = 1 << 20


class ServicePlan(NamedTuple):
    """One service of a deployment.

    ``loads`` have no address, which a running cluster adds. ``targets`` is the
    number of its endpoints, each with ``slots``.
    """

    name: str
    number: int
    targets: int
    slots: int
    classes: tuple[RequestClass, ...] = ()
    loads: tuple[LoadPlan, ...] = ()
    behaviour: Behaviour = {}
    protocol: str = "quic"
    drain: float = 86400.0


class Deployment(NamedTuple):
    """One user's data centres and services.

    ``latency`` is the one-way delay in seconds between callers and agents: the
    delay to the clients plus that between two data centres, as most flows cross
    between two.
    """

    name: str
    data_centres: tuple[str, ...]
    entries: int
    latency: float
    services: tuple[ServicePlan, ...]

    @property
    def services_by_name(self) -> dict[str, ServicePlan]:
        """The services by name."""
        return {service.name: service for service in self.services}


def _data_centres(name: str, count: int) -> tuple[str, ...]:
    return tuple(f"{name}-{number}" for number in range(1, count + 1))


TALLY = ServicePlan(
    name="tally",
    number=1,
    targets=7,
    slots=4,
    classes=(
        RequestClass("feed", "/tally/feed", slots=0),
        RequestClass("ticket", "/tickets", share=0.5, queue=32),
    ),
    loads=(
        {"kind": "feeds", "path": "/tally/feed", "callers": 28, "every": 0.5},
        {"kind": "tickets", "path": "/tickets", "callers": 14, "rate": 60.0},
    ),
    behaviour={"service_time": 0.1},
)

LEDGER = ServicePlan(
    name="ledger",
    number=2,
    targets=3,
    slots=4,
    classes=(RequestClass("export", "/ledger", share=0.5, queue=16),),
    loads=(
        {
            "kind": "exports",
            "path": "/ledger",
            "callers": 9,
            "rate": 1.0,
            "size": 2 * MEGABYTE,
            "deadline": 20.0,
        },
    ),
    behaviour={"export_rate": 4.0 * MEGABYTE},
)

LOAN_DESK = ServicePlan(
    name="loan-desk",
    number=1,
    targets=7,
    slots=3,
    classes=(
        RequestClass("feed", "/requests/feed", slots=0),
        RequestClass("loan", "/loans", share=0.4, queue=32),
        RequestClass("renewal", "/renewals", share=0.2, queue=32),
    ),
    loads=(
        {"kind": "feeds", "path": "/requests/feed", "callers": 28, "every": 0.5},
        {"kind": "tickets", "path": "/loans", "callers": 14, "rate": 40.0},
        {"kind": "tickets", "path": "/renewals", "callers": 7, "rate": 10.0},
    ),
    behaviour={"service_time": 0.1},
)

CATALOGUE = ServicePlan(
    name="catalogue",
    number=2,
    targets=4,
    slots=3,
    classes=(RequestClass("export", "/catalogue", share=0.5, queue=16),),
    loads=(
        {
            "kind": "exports",
            "path": "/catalogue",
            "callers": 8,
            "rate": 1.0,
            "size": 2 * MEGABYTE,
            "deadline": 20.0,
        },
    ),
    behaviour={"export_rate": 4.0 * MEGABYTE},
)

DEPLOYMENTS_BY_NAME = {
    "thies": Deployment(
        name="thies",
        data_centres=_data_centres("thies", 3),
        entries=3,
        latency=0.001 + 0.001,
        services=(TALLY, LEDGER),
    ),
    "nairobi": Deployment(
        name="nairobi",
        data_centres=_data_centres("nairobi", 4),
        entries=3,
        latency=0.003 + 0.001,
        services=(LOAN_DESK, CATALOGUE),
    ),
}
