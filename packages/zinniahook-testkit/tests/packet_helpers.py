"""Helpers of the simulation tests of the packet service."""

SEEDS = range(6)


def open_flows(sim, count=60, seconds=0.5):
    """Open flows; return them once all are open."""
    flows = [sim.open_flow() for _ in range(count)]
    sim.run(seconds)
    assert [flow.state for flow in flows] == ["open"] * count
    return flows


def count_new_answers(sim, flows, seconds=1.0):
    """Send one more request on each flow; return the new answers of each."""
    answers = [len(flow.answers) for flow in flows]
    for flow in flows:
        sim.ask(flow)
    sim.run(seconds)
    return [len(flow.answers) - had for flow, had in zip(flows, answers, strict=True)]
