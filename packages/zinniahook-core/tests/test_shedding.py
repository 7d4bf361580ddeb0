"""A target that sheds its requests."""

from core_clusters import Cluster
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.events import RequestFinished

SHED = Outcome(OutcomeKind.NOT_RUN, Code.TARGET_SHED, 0.2)


def shed_all(node):
    """Make a node's target shed every request."""

    def shed(number):
        node.feed(RequestFinished(number, SHED, False))

    node.target = "refuses"
    node.target_refused = shed


class TestSheddingTarget:
    def test_new_work_goes_elsewhere(self):
        """Callers at one agent must not be refused while other targets are idle.

        The target of that agent sheds every request. If a shed request counts as a
        success, that target has the fewest requests in progress and looks best.
        Callers are then refused again and again and wait for seconds.
        """
        cluster = Cluster(3, {"tally": 4})
        shedding, *_ = cluster.live("tally")
        while not any(c[1] == shedding.name for c in cluster.connections):
            cluster.connect("tally")
            cluster.run(0.1)
        connection = next(c for c in cluster.connections if c[1] == shedding.name)
        shed_all(shedding)
        for number in range(40):
            cluster.request(connection, b"ticket %d" % number, 1)
            cluster.run(0.5)
        # A request takes up to 2.5 s here, and the last one may take that long.
        cluster.run(5.0)
        refused = [
            told for told in cluster.reported if told.kind is OutcomeKind.NOT_RUN
        ]
        assert len(refused) < 8
        assert len(cluster.reported) == 40
        assert cluster.violated_promises() == []
