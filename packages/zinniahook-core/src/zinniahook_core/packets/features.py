"""The optional parts of the packet service.

Each part is off unless the deployment's settings or its configuration require it, so
that a deployment that needs none runs as if it didn't exist.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .models import Routes

__all__ = ["FEATURE_NAMES", "Features", "FeatureSwitch", "has_competing_routes"]


class Features(NamedTuple):
    """The optional parts; see the note of each in ``docs/design``.

    None leaves `request_order` and `expected_work` to the configuration, see `is_on`;
    any other part is on only if it is True.
    """

    request_order: bool | None = None
    """Requests of open flows wait at the agent, and the most urgent go first."""

    shared_room: bool | None = None
    """Daemons share a service's capacity among kinds and data centres.

    It is on only if the settings say so: a rejected client has used up a try."""

    expected_work: bool | None = None
    """Long flows are placed by the work that they are expected to bring."""

    target_health: bool | None = None
    """Targets are judged by their answers and ejected while they fail."""

    learned_capacity: bool | None = None
    """A target's capacity is measured in addition to its report."""

    zone_balance: bool | None = None
    """Accepted in settings, without effect."""

    @staticmethod
    def is_on(wanted: bool | None, routes: Routes, service: str) -> bool:
        """Return whether a part is on for a service.

        ``wanted`` is the part's setting. If that is None, the part is on if requests of
        different urgency compete for the service's targets.
        """
        return has_competing_routes(routes, service) if wanted is None else wanted


FEATURE_NAMES: Final = frozenset(Features._fields)


class FeatureSwitch:
    """Whether a part is on for a service, computed once per configuration.

    Parameters
    ----------
    features : Features
        The settings of all parts.
    wanted : bool or None
        The setting of this part.
    """

    def __init__(self, features: Features, wanted: bool | None) -> None:
        self._features = features
        self._wanted = wanted
        self._version = -1
        self._service = ""
        self._is_on = False

    def is_on(self, routes: Routes, service: str) -> bool:
        """Return whether the part is on under a configuration."""
        if routes.version != self._version or service != self._service:
            self._version, self._service = routes.version, service
            self._is_on = self._features.is_on(self._wanted, routes, service)
        return self._is_on


def has_competing_routes(routes: Routes, service: str) -> bool:
    """Return whether routes with goals of different priority lead to a service.

    Only then is there a choice to make when the service is overloaded.
    """
    urgencies = {
        route.urgency
        for route in routes.by_address.values()
        if route.urgency.goal < float("inf") and route.opens_at(service)
    }
    return len({urgency.priority for urgency in urgencies}) > 1
