"""What stories of the packet service have in common."""

SEEDS = range(6)


def open_flows(sim, count=60, seconds=0.5):
    """Return flows that were opened."""
    flows = [sim.open_flow() for _ in range(count)]
    sim.run(seconds)
    assert [flow.state for flow in flows] == ["open"] * count
    return flows


def count_new_answers(sim, flows, seconds=1.0):
    """Return how many answers each flow got to one more request."""
    answers = [len(flow.answers) for flow in flows]
    for flow in flows:
        sim.ask(flow)
    sim.run(seconds)
    return [len(flow.answers) - had for flow, had in zip(flows, answers, strict=True)]
