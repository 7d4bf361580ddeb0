"""Health of a target, judged by its answers compared with those of its peers.

This handles one of ten targets that fails part of its requests while its heartbeats say
ready, one that hangs, and one that is many times slower. A flow can't be moved and a
request can't be repeated here, so the only remedy is to open new flows elsewhere. The
agent sees all answers of its target and judges them; the result goes into its status,
and homes place flows by it (`placement.usable`).

Requests that fail at every target say nothing about a single target. What counts is how
far a target's share of failures exceeds its peers' on the same routes.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass
from typing import NamedTuple

from .flows import Flows, FlowState
from .members import Roster
from .models import Answer, Log
from .outcomes import Counts, Peers, lower_bound, summarize_peers
from .reports import HealthReport, RouteRow

__all__ = ["CONSULTED_PEERS", "Evidence", "Health", "Phase"]

MIN_EXCESS_SHARE = 0.05
"""Excess over the peers' share of failures that is acted on: below it, callers lose
less through the failures than through the lost capacity."""

MIN_EXCESS_RATIO = 1.5
"""The same as a ratio, for peers that fail often as well."""

MIN_FAILURES = 4.0
"""Failures required for any decision: an aborting client or a lost packet causes one or
two."""

RECENT_WEIGHT = 0.15
"""Weight of a new answer in the recent share of bad answers, which describes what a
suspected target does now; a second ago it may have been well."""

MIN_RUN_PROBABILITY = 1e-8
"""Probability of the current run of bad answers, at the peers' share, below which the
run isn't attributed to chance. With the bound alone, a target that begins to hang
would be detected late: it gets few requests, and its earlier good answers count for
half a minute."""

MIN_PEER_ANSWERS = 10.0
"""Answers of peers required for a comparison."""

SLOW_FACTOR = 4.0
"""Ratio to the peers' answer time from which an answer is slow: above
`placement.WARMING_FACTOR`, so that a cold target doesn't count as failing, and above
the variation between requests."""

HUNG_GOALS = 2.0
"""Multiples of its route's goal after which a request without an answer counts as hung:
by then the answer has lost most of its value to the caller."""

HUNG_FACTOR = 16.0
"""Multiples of the usual time after which it does if the route has no goal."""

MIN_HUNG_SECONDS = 0.5
"""Minimum of this time: a repeated packet arrives after 0.2 and 0.6 s."""

MAX_HUNG_SECONDS = 3.0
"""Maximum, also used if nothing is known; see `flows.ABANDONED_SECONDS`."""

STALL_SECONDS = 0.5
"""Seconds between two ticks from which this process itself was stalled."""

CONFIRMATION_SECONDS = 0.2
"""Seconds that a suspicion must last: a peer that is asked answers sooner."""

CONSULTED_PEERS = 8
"""Peers that are asked to report on a suspicion. In a large service their statuses
would come only after seconds, and the target would fail requests until then."""

COMPARISON_INTERVAL_SECONDS = 1.0
"""Seconds between two comparisons with the peers' reports."""

FALSE_RECOVERY_PROBABILITY = 0.02
"""Probability that a target which still fails as before shows the required number of
good answers in a row."""

MIN_PROBES = 4
MAX_PROBES = 40
"""Good answers in a row that are required, at least and at most."""

RELAPSE_SECONDS = 60.0
"""Seconds after a return in which a new suspicion doubles the required answers.
Otherwise a target that fails intermittently would return each time."""

MAX_EJECTION_SECONDS = 30.0
"""Seconds after which a target returns in any case, gradually: with few requests,
enough good answers would take too long."""

RAMP_SECONDS = 3.0
"""Seconds in which a returning target's share of openings grows to the full share."""

RAMP_START_SHARE = 0.2
"""Initial share: above any probe share, see `member.EJECTED_BELOW_SHARE`."""

PROBE_SHARE = 0.08
MIN_PROBE_SHARE = 0.01
"""Share of the usual openings that an ejected target gets, halved with each bad answer
in a row, down to the minimum. Both are below `member.EJECTED_BELOW_SHARE`, by which
others recognise an ejected target. A target that fails half of its requests still
answers some; one that hangs loses every request it gets."""

MAX_ROUTES = 256
MAX_FAILING_FLOWS = 1024
MAX_REPORTED_ROUTES = 6
"""Routes in a status, those with most answers: 34 bytes in all."""


class Phase(enum.Enum):
    """An agent's verdict on its target."""

    FULL = "full"
    ASIDE = "aside"
    """Ejected: it gets only a probe share, to detect its recovery."""

    RETURNING = "returning"


class Evidence(NamedTuple):
    """The evidence for a suspicion: ``bad`` of ``total`` answers.

    ``bound`` is the lower confidence bound of the bad share, ``peers`` the share that
    its peers have on the same routes.
    """

    bad: float
    total: float
    bound: float
    peers: float

    @property
    def share(self) -> float:
        """The share of bad answers."""
        return self.bad / self.total


@dataclass(slots=True)
class Pending:
    """A request not answered yet; ``load`` is requests per slot when it began."""

    at: float
    tag: int
    goal: float
    load: float
    key: bytes = b""


class Health:
    """The answers of one target and its agent's verdict.

    Parameters
    ----------
    log : Log
        Receives the decisions.
    flows : Flows
        Tells whether a request still waits for its answer.

    ``phase`` is the agent's verdict, ``failing`` the share of requests that the target
    failed when it was ejected, ``suspect_since`` since when the agent waits for peers'
    reports on a suspicion, None if it doesn't.
    """

    def __init__(self, log: Log, flows: Flows) -> None:
        self.phase = Phase.FULL
        self.failing = 0.0
        self._log = log
        self._flows = flows
        self._counts_by_tag: dict[int, Counts] = {}
        self._pending: dict[bytes, Pending] = {}
        self._peers: dict[int, Peers] = {}
        self._compared_at = float("-inf")
        self._phase_since = float("-inf")
        self._returned_at = float("-inf")
        self._ticked_at = float("-inf")
        self._good_run = 0
        self._bad_probe_run = 0
        self._bad_run_by_tag: dict[int, int] = {}
        self._bad_flows: dict[bytes, None] = {}
        self.suspect_since: float | None = None
        self._recent_bad_share = 0.0
        self._recent_failed_share = 0.0
        self._good_needed = MIN_PROBES
        self._relapses = 0

    def renew(self) -> None:
        """Discard what is known of a former target."""
        self.phase = Phase.FULL
        self.failing = 0.0
        self._counts_by_tag.clear()
        self._pending.clear()
        self._returned_at = float("-inf")
        self._bad_run_by_tag.clear()
        self._bad_flows.clear()
        self.suspect_since = None
        self._recent_bad_share = self._recent_failed_share = 0.0
        self._relapses = 0

    # Requests and answers

    def begun(self, now: float, key: bytes, tag: int, goal: float, load: float) -> None:
        """Note that a request was sent to the target."""
        self._pending[key] = Pending(now, tag, goal, load, key)

    def answered(self, now: float, key: bytes, answer: int) -> bool:
        """Record the start of an answer; return whether it was due and served."""
        pending = self._pending.pop(key, None)
        if pending is None:
            return False
        took = now - pending.at
        if answer == Answer.FAILED:
            self._failed(now, pending, "failed")
        elif answer == Answer.REJECTED:
            self._rejected(now, pending)
        elif self._is_slow(pending, took):
            self._log.count("answers.slow")
            self._add(now, pending, took, bad=True, failed=False)
            return True
        else:
            self._add(now, pending, took, bad=False, failed=False)
            return True
        return False

    def aborted(self, now: float, key: bytes) -> None:
        """Note that the target reset a request in progress."""
        pending = self._pending.pop(key, None)
        if pending is not None:
            self._failed(now, pending, "reset")

    def refused(self, now: float, tag: int, load: float) -> None:
        """Note that the target returned an opening or didn't answer it."""
        self._rejected(now, Pending(now, tag, float("inf"), load))

    def _rejected(self, now: float, pending: Pending) -> None:
        """Count a rejected request as failed if the target had a free slot for it.

        If it always counted, a full target that rightly rejects would be ejected.
        """
        if pending.load <= 1:
            self._failed(now, pending, "rejected")

    def _failed(self, now: float, pending: Pending, how: str) -> None:
        self._log.count(f"answers.{how}")
        self._add(now, pending, 0.0, bad=True, failed=True)

    def _add(
        self, now: float, pending: Pending, took: float, bad: bool, failed: bool
    ) -> None:
        if self._is_known_bad(pending.key, bad):
            return
        counts = self._counts_by_tag.get(pending.tag)
        if counts is None:
            if len(self._counts_by_tag) >= MAX_ROUTES:
                self._counts_by_tag.pop(next(iter(self._counts_by_tag)))
            counts = self._counts_by_tag[pending.tag] = Counts(now)
        counts.add(now, took, bad, failed)
        if bad:
            runs_by_tag = self._bad_run_by_tag
            runs_by_tag[pending.tag] = runs_by_tag.get(pending.tag, 0) + 1
        else:
            self._bad_run_by_tag.clear()
        self._recent_bad_share += RECENT_WEIGHT * (bad - self._recent_bad_share)
        self._recent_failed_share += RECENT_WEIGHT * (
            failed - self._recent_failed_share
        )
        if self.phase is Phase.ASIDE and pending.at >= self._phase_since:
            self._good_run = 0 if bad else self._good_run + 1
            self._bad_probe_run = self._bad_probe_run + 1 if bad else 0

    def _is_known_bad(self, key: bytes, bad: bool) -> bool:
        """Return whether a flow's previous request failed as well.

        If each failure counted, one client that sends requests that can't be served,
        stays at its target and is seen by no peer would get the target ejected.
        """
        if not bad or not key:
            self._bad_flows.pop(key, None)
            return False
        if key in self._bad_flows:
            return True
        self._bad_flows[key] = None
        while len(self._bad_flows) > MAX_FAILING_FLOWS:
            del self._bad_flows[next(iter(self._bad_flows))]
        return False

    def _run_probability(self) -> float:
        """Return the probability of the run of bad answers at the peers' shares."""
        chance = 1.0
        for tag, count in self._bad_run_by_tag.items():
            peers = self._peers.get(tag)
            if peers is not None and peers.total >= MIN_PEER_ANSWERS:
                chance *= peers.share**count
        return chance

    def _is_slow(self, pending: Pending, took: float) -> bool:
        """Return whether an answer was late because of the target itself.

        It isn't slow within half of its route's goal. With n requests per slot an
        answer may take n times as long.
        """
        peers = self._peers.get(pending.tag)
        if peers is None or not peers.answer_time:
            return False
        if pending.goal < float("inf") and took < pending.goal / 2:
            return False
        return took > SLOW_FACTOR * peers.answer_time * max(1.0, pending.load)

    # Decisions

    def tick(self, now: float, roster: Roster, own: str) -> bool:
        """Do all periodic work; return whether to report to peers immediately.

        ``roster`` holds the agents of the service, ``own`` is this agent's address.
        """
        stalled = now - self._ticked_at > STALL_SECONDS
        self._ticked_at = now
        if stalled:
            # Answers that arrived meanwhile haven't been read. If their requests
            # counted as hung, each pause of this process would make its target a
            # suspect.
            self._pending.clear()
        self._find_hung(now)
        if now - self._compared_at >= COMPARISON_INTERVAL_SECONDS:
            self._compare(now, roster, own)
        if self.phase is Phase.ASIDE:
            return self._try_return(now)
        if self._is_confirmed(now, roster, own):
            self._eject(now, self.evidence(now))
            return True
        if self.phase is Phase.RETURNING and now - self._phase_since >= RAMP_SECONDS:
            self.phase = Phase.FULL
            self.failing = 0.0
        return False

    def _compare(
        self, now: float, roster: Roster, own: str, since: float = float("-inf")
    ) -> int:
        """Read the peers' reports since a time; return how many have reported."""
        others = [
            member
            for member in roster.by_address.values()
            if member.address != own and member.status_received_at >= since
        ]
        self._compared_at = now
        self._peers = summarize_peers(now, others)
        return len(others)

    def _is_confirmed(self, now: float, roster: Roster, own: str) -> bool:
        """Return whether a suspicion has outlasted the peers' next reports.

        Without this, when a route begins to fail everywhere, every agent would compare
        with its peers' earlier reports and suspect its target.
        """
        since = self.suspect_since
        if since is None:
            if self._is_suspect(now):
                self.suspect_since = now
            return False
        passed = now - since
        if passed < CONFIRMATION_SECONDS:
            return False
        reported = self._compare(now, roster, own, since)
        if (
            reported < CONSULTED_PEERS / 2
            and passed < roster.status_interval + CONFIRMATION_SECONDS
        ):
            return False
        self.suspect_since = None
        return self._is_suspect(now)

    def _find_hung(self, now: float) -> None:
        for key, pending in list(self._pending.items()):
            if now - pending.at < self._hang_timeout(pending):
                continue
            del self._pending[key]
            flow = self._flows.get(key)
            if flow is None or flow.state is FlowState.CLOSED:
                continue
            if flow.requested_at is not None:
                self._failed(now, pending, "hung")

    def _hang_timeout(self, pending: Pending) -> float:
        peers = self._peers.get(pending.tag)
        if pending.goal < float("inf"):
            seconds = HUNG_GOALS * pending.goal
        elif peers is not None and peers.answer_time:
            seconds = HUNG_FACTOR * peers.answer_time
        else:
            return MAX_HUNG_SECONDS
        # With n requests per slot an answer takes n times as long.
        seconds *= max(1.0, pending.load)
        return min(MAX_HUNG_SECONDS, max(MIN_HUNG_SECONDS, seconds))

    def evidence(self, now: float) -> Evidence:
        """Return the evidence from all routes that can be compared."""
        bad = total = expected = 0.0
        for tag, counts in self._counts_by_tag.items():
            peers = self._peers.get(tag)
            if peers is None or peers.total < MIN_PEER_ANSWERS:
                continue
            counts.fade(now)
            bad += counts.bad
            total += counts.total
            expected += counts.total * peers.share
        peers_share = expected / total if total else 0.0
        return Evidence(bad, total, lower_bound(bad, total), peers_share)

    def _is_suspect(self, now: float) -> bool:
        if sum(counts.bad for counts in self._counts_by_tag.values()) < MIN_FAILURES:
            return False
        evidence = self.evidence(now)
        if evidence.bad < MIN_FAILURES:
            return False
        allowed_share = max(
            MIN_EXCESS_RATIO * evidence.peers, evidence.peers + MIN_EXCESS_SHARE
        )
        return (
            evidence.bound > allowed_share
            or self._run_probability() < MIN_RUN_PROBABILITY
        )

    def _eject(self, now: float, evidence: Evidence) -> None:
        relapsed = now - self._returned_at < RELAPSE_SECONDS
        self._relapses = self._relapses + 1 if relapsed else 0
        share = max(evidence.share, self._recent_bad_share)
        self._good_needed = min(MAX_PROBES, _probes(share) << self._relapses)
        self.failing = self._recent_failed_share
        self.phase = Phase.ASIDE
        self._phase_since = now
        self._good_run = self._bad_probe_run = 0
        chance = self._run_probability()
        self._bad_run_by_tag.clear()
        self._counts_by_tag.clear()
        self._log.event(
            "target.suspected",
            bad=round(evidence.bad, 1),
            of=round(evidence.total, 1),
            bound=round(evidence.bound, 3),
            peers=round(evidence.peers, 3),
            chance=f"{chance:.0e}",
            good_asked=self._good_needed,
        )

    def _try_return(self, now: float) -> bool:
        elapsed = now - self._phase_since
        if self._good_run < self._good_needed and elapsed < MAX_EJECTION_SECONDS:
            return False
        self._log.event(
            "target.trusted",
            good=self._good_run,
            good_asked=self._good_needed,
            aside=round(elapsed, 2),
        )
        self.phase = Phase.RETURNING
        self._phase_since = self._returned_at = now
        self._recent_bad_share = self._recent_failed_share = 0.0
        self._counts_by_tag.clear()
        return True

    def trust(self, now: float) -> float:
        """Return the share of the usual openings that the target should get."""
        if self.phase is Phase.FULL:
            return 1.0
        if self.phase is Phase.ASIDE:
            return max(MIN_PROBE_SHARE, PROBE_SHARE * 0.5**self._bad_probe_run)
        return min(1.0, RAMP_START_SHARE + (now - self._phase_since) / RAMP_SECONDS)

    def failed_share(self) -> float:
        """Return the share of requests that failed recently."""
        total = sum(counts.total for counts in self._counts_by_tag.values())
        failed = sum(counts.failed for counts in self._counts_by_tag.values())
        return failed / total if total else 0.0

    def report(self, now: float) -> HealthReport:
        """Return the health report for a status."""
        tags = list(self._counts_by_tag.items())
        if len(tags) > MAX_REPORTED_ROUTES:
            tags.sort(key=lambda item: -item[1].total)
        rows = []
        for tag, counts in tags[:MAX_REPORTED_ROUTES]:
            counts.fade(now)
            rows.append(RouteRow(tag, counts.total, counts.bad, counts.answer_time))
        return HealthReport(self.trust(now), self.failing, tuple(rows))


def _probes(share: float) -> int:
    """Return how many good answers in a row a failing target rarely shows."""
    if share >= 1:
        return MIN_PROBES
    needed = math.ceil(math.log(FALSE_RECOVERY_PROBABILITY) / math.log(1 - share))
    return min(MAX_PROBES, max(MIN_PROBES, needed))
