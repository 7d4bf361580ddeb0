"""Flows across planned and unplanned changes of a service's agents."""

import pytest
from flow_networks import Network, caller, member
from zinniahook_core.models import AgentState
from zinniahook_core.routing import flow_key

COUNT = 300


class TestPlannedChanges:
    @pytest.mark.parametrize("seed", range(3))
    def test_join_under_traffic(self, seed):
        """An established stream must not move when an agent joins.

        The new agent becomes the home of established flows. Entries and agents
        learn the roster up to two seconds apart while packets arrive. If the new
        home opened flows that it doesn't know, its target would get the middle of a
        stream.
        """
        network = Network(seed, 5, loss=0.1, doubled=0.1)
        owners = network.open(COUNT)
        network.join("a-5")
        sent = network.send_repeatedly(COUNT)
        assert network.moved(owners) == []
        assert all(len(network.delivered[number]) == sent + 1 for number in owners)

    @pytest.mark.parametrize("seed", range(3))
    def test_two_joins_at_once_and_every_entry_replaced(self, seed):
        """Established streams must not move when two agents join at once.

        The entries that know the owners are replaced too, so there are no hints.
        The former home is only third in rank.
        """
        network = Network(seed, 4, loss=0.1, doubled=0.1)
        owners = network.open(COUNT)
        network.join("a-4", "a-5")
        network.entries = [network.new_entry() for _ in range(2)]
        network.send_repeatedly(COUNT)
        assert network.moved(owners) == []

    @pytest.mark.parametrize("seed", range(3))
    def test_leave_and_join_in_turn(self, seed):
        """A rolling replacement must not cut streams of a draining agent.

        Each agent leaves while a new one joins. Its flows continue until they end,
        and new flows open meanwhile. Streams would restart if known flows were
        routed by which agents accept new ones.
        """
        network = Network(seed, 4, loss=0.05, doubled=0.05)
        owners = network.open(COUNT)
        for number in range(4):
            network.leave(f"a-{number}")
            network.join(f"a-{number + 4}")
            network.send_repeatedly(COUNT, seconds=2.0)
        network.entries = [network.new_entry() for _ in range(2)]
        network.send_repeatedly(COUNT, seconds=1.0)
        assert network.moved(owners) == []

    def test_handed_flows_stay_when_their_home_and_their_owner_s_peers_change(self):
        """A flow that was handed over must not move at the next change.

        The home hands openings to less loaded peers. It leaves while another agent
        joins, and entries are replaced. The new home can't ask the former one,
        which is gone.
        """
        network = Network(8, 4, loss=0.1)
        network.run(1.0)
        home = network.flows_by_name["a-0"].homes.home
        owners = network.open(COUNT)
        handed = [n for n in owners if home(flow_key(caller(n))).name != owners[n]]
        assert len(handed) > COUNT // 20
        network.leave("a-1")
        network.join("a-4")
        network.entries = [network.new_entry() for _ in range(2)]
        network.send_repeatedly(COUNT)
        assert network.moved(owners) == []

    def test_without_overlap_windows_the_check_fails(self, monkeypatch):
        """The checks above must fail if a new home never asks."""
        monkeypatch.setattr(
            "zinniahook_core.homes.Homes.had_other_home", lambda *arguments: False
        )
        network = Network(1, 4)
        owners = network.open(COUNT)
        network.join("a-4", delay=0.0)
        network.entries = [network.new_entry() for _ in range(2)]
        network.send_repeatedly(COUNT, seconds=1.0, pause=0.05)
        assert network.moved(owners) != []

    def test_a_leaving_agent_gets_no_new_flows(self):
        network = Network(1, 4)
        network.open(50)
        network.leave("a-0")
        network.run(3.0)
        for number in range(1000, 1200):
            network.send(number)
        network.run(2.0)
        opened = [network.delivered[number] for number in range(1000, 1200)]
        assert all(len(names) == 1 for names in opened)
        assert ["a-0"] not in opened

    def test_a_quiet_flow_keeps_its_owner_while_its_home_changes_twice(self):
        """A flow without packets must keep its owner through two changes of home.

        The home of a flow that was handed over is replaced twice with no packet in
        between, then new entries route by rank. If pointers were made only when
        packets pass, the next packet would reach a new target.
        """
        network = Network(2, 4, loss=0.1)
        owners = network.open(COUNT)
        network.join("a-4")
        network.run(8.0)
        network.leave("a-4")
        network.join("a-5")
        network.run(8.0)
        network.entries = [network.new_entry()]
        network.send_repeatedly(COUNT, seconds=1.0)
        assert network.moved(owners) == []

    def test_pointers_outlive_hours_of_direct_routing(self):
        """A flow must not move when the entry that knows its owner is replaced.

        The entry sends directly to the owner, so the home sees no packet for longer
        than the idle time. A pointer that is renewed only by packets would expire
        before the entry is replaced.
        """
        network = Network(3, 4)
        owners = network.open(60)
        network.join("a-4")
        for _ in range(8):
            network.send_repeatedly(60, seconds=1.0, pause=1.0)
            network.run(10.0)
        network.entries = [network.new_entry()]
        network.send_repeatedly(60, seconds=1.0)
        assert network.moved(owners) == []


class TestUnplanned:
    def test_a_dead_home_keeps_no_new_flow_waiting(self):
        """New flows of a dead home must be opened before it is marked down.

        The home dies. An entry that has suspended it sends the opening to the next
        agent in rank, whose query to the home is never answered.
        """
        network = Network(4, 4)
        home = network.flows_by_name["a-0"].homes
        numbers = [
            n for n in range(400) if home.home(flow_key(caller(n))).name == "a-1"
        ]
        network.dead.add("a-1")
        for number in numbers:
            network.post(
                0.0, ("datagram", "a-2", network.entries[0], number, b"x", 0, "")
            )
        network.run(2.0)
        assert all(len(network.delivered[number]) == 1 for number in numbers)
        assert len(numbers) > 50

    def test_flows_of_others_survive_a_dead_home(self):
        """Flows that were handed over must survive the agent that handed them.

        The home hands flows to peers, dies and is marked down. New entries then
        send their packets to the next home. Pointers kept only at the first home
        would be lost with it.
        """
        network = Network(5, 5, loss=0.05)
        owners = network.open(COUNT)
        network.dead.add("a-0")
        network.members["a-0"] = network.members["a-0"]._replace(state=AgentState.DOWN)
        network.publish()
        network.run(6.0)
        network.entries = [network.new_entry()]
        network.send_repeatedly(COUNT, seconds=1.0)
        kept = {number: name for number, name in owners.items() if name != "a-0"}
        assert network.moved(kept) == []
        assert all(len(network.delivered[n]) > 1 for n in owners)

    def test_a_restarted_home_learns_its_flows_again(self):
        """A home that restarts must not open flows a second time.

        It restarts at once under its name with a new incarnation. The owners of its
        flows must not assume that it still has their pointers.
        """
        network = Network(6, 4, loss=0.05)
        owners = network.open(COUNT)
        network.start("a-0")
        network.members["a-0"] = member("a-0", incarnation=2)
        network.publish()
        network.run(6.0)
        network.entries = [network.new_entry()]
        network.send_repeatedly(COUNT, seconds=1.0)
        kept = {number: name for number, name in owners.items() if name != "a-0"}
        assert network.moved(kept) == []

    @pytest.mark.parametrize("age", [3.0, 20.0])
    def test_two_owners_become_one(self, age):
        """The packets of one caller must not stay spread over two targets.

        The home is paused when a peer asks it, so the peer opens a flow that the
        home owns already. When the home resumes, the younger owner must yield. If
        the peer sent the home a pointer instead of asking it, a home whose own flow
        is young would yield although the other is younger.
        """
        network = Network(7, 3)
        owners = network.open(40)
        network.run(age)
        number = next(n for n, name in owners.items() if name == "a-0")
        network.dead.add("a-0")
        network.post(0.0, ("datagram", "a-1", network.entries[0], number, b"x", 0, ""))
        network.run(1.0)
        network.dead.discard("a-0")
        network.run(3.0)
        flow = flow_key(caller(number))
        owning = [n for n, f in network.flows_by_name.items() if f.owns(flow)]
        assert owning == ["a-0"]
