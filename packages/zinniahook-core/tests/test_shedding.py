"""A target that sheds what it is given."""

from core_clusters import Cluster
from zinniahook_core.codes import Code, Outcome, OutcomeKind
from zinniahook_core.events import RequestFinished

SHED = Outcome(OutcomeKind.NOT_RUN, Code.TARGET_SHED, 0.2)


def shed_all(node):
    """Let a node's target shed whatever it is given."""

    def shed(number):
        node.feed(RequestFinished(number, SHED, False))

    node.target = "refuses"
    node.target_refused = shed


class TestSheddingTarget:
    def test_new_work_goes_elsewhere(self):
        """
        Symptom: callers connected to one agent are refused again and again,
        and wait for seconds, while the other targets are idle.
        Sequence: the target of that agent sheds every request.
        Cause: a shed request counted as a success, so that the target with
        the fewest requests in progress looked like the best.
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
        # A run takes up to 2.5 s here, and the last one may be of that kind.
        cluster.run(5.0)
        refused = [
            told for told in cluster.reported if told.kind is OutcomeKind.NOT_RUN
        ]
        assert len(refused) < 8
        assert len(cluster.reported) == 40
        assert cluster.violated_promises() == []
