"""New flows reach a host that can serve them or are reset at once."""

import itertools

import pytest

from daisygauge_control import HostState
from daisygauge_relay._flows import FlowStage
from daisygauge_wire import UnknownFlowFrame, encode_frame

from .network import (
    ACK,
    SERVICE,
    SERVICE_ENDPOINT,
    SYN,
    HostFlow,
    Network,
    ask_all,
    pack_endpoint,
)


@pytest.fixture
def network():
    return Network()


def test_a_new_flow_opens_despite_silent_hosts_before_its_opening_is_repeated(network):
    for host in list(network.hosts.values())[:3]:
        host.is_silent = True
    clients = [network.new_client() for _ in range(10)]
    for client in clients:
        client.connect("10.0.0.1")
    network.clock.run(0.19)

    assert all(client.is_open for client in clients)


def test_a_new_flow_opens_despite_dead_agents_when_its_opening_is_repeated(network):
    network.down.update(list(network.hosts)[:2])
    clients = [network.new_client() for _ in range(20)]
    for client in clients:
        client.connect("10.0.0.1", copies=3)
    network.clock.run(0.7)

    assert all(client.is_open for client in clients)


def test_agents_are_tried_last_after_two_unanswered_openings(network):
    network.down.update(list(network.hosts)[:2])
    for _ in range(30):
        network.new_client().connect("10.0.0.1", copies=2)
        network.clock.run(0.3)
    late = [network.new_client() for _ in range(20)]
    for client in late:
        client.connect("10.0.0.1")
    network.clock.run(0.05)

    assert sum(client.is_open for client in late) >= 18


def test_a_full_host_passes_a_new_flow_on(network):
    for host in list(network.hosts.values())[:3]:
        host.returns_openings = True
    clients = network.open_clients(10)

    assert all(client.is_open for client in clients)


def test_no_new_flow_goes_to_a_draining_host_though_balancers_do_not_know(network):
    address, leaving = next(iter(network.hosts.items()))
    network.publish_host(leaving, state=HostState.DRAINING)
    stale = network.balancers["10.0.0.1"].runtime.directory
    network.publish_host(leaving)
    fresh = network.new_directory(address)
    network.agents[address].runtime.directory = fresh
    network.revision += 1
    network.publish_host(leaving, state=HostState.DRAINING)
    network.balancers["10.0.0.1"].runtime.directory = stale
    before = len(leaving.flows)

    network.open_clients(20)

    assert len(leaving.flows) == before


def test_a_stopping_agent_passes_new_flows_on(network):
    address, host = next(iter(network.hosts.items()))
    network.agents[address].runtime.is_leaving = True

    clients = network.open_clients(20)

    assert all(client.is_open for client in clients)
    assert not host.flows


def test_a_new_flow_never_reaches_another_service_at_a_reused_address(network):
    address, host = next(iter(network.hosts.items()))
    host.service = "pattern-library"
    network.publish_routes(services=((SERVICE, 1.0), ("pattern-library", 0.0)))
    network.publish_host(host, incarnation=2)
    stale = network.balancers["10.0.0.1"].runtime.directory
    stale.view.hosts["order-desk"]

    clients = network.open_clients(20)

    assert all(client.is_open for client in clients)
    assert not host.flows


def test_a_new_flow_never_reaches_a_host_whose_settings_name_another_service(network):
    address, host = next(iter(network.hosts.items()))
    # The directory still lists the previous host when the next one's agent starts.
    host.service = "pattern-library"
    network.start_agent(address)

    clients = network.open_clients(20)

    assert all(client.is_open for client in clients)
    assert not host.flows


def test_a_forwarded_packet_never_reaches_a_host_of_another_service(network):
    clients = network.open_clients(20)
    address, host = next((a, h) for a, h in network.hosts.items() if h.flows)
    host.service = "pattern-library"
    host.flows.clear()
    network.first_start = False
    network.start_agent(address)

    for client in clients:
        client.ask("10.0.0.1")
    network.clock.run(0.3)

    assert not host.unknown_flows


def test_a_flow_to_an_unknown_route_is_refused_at_once(network):
    client = network.new_client(service=("198.18.0.1", 9999))
    client.connect("10.0.0.1")
    network.clock.run(0.01)

    assert client.resets == 1


def test_a_flow_is_refused_at_once_when_no_host_is_left(network):
    for host in network.hosts.values():
        network.publish_host(host, state=HostState.DRAINING)
    client = network.new_client()
    client.connect("10.0.0.1")
    network.clock.run(0.01)

    assert client.resets == 1


def test_a_balancer_without_a_configuration_refuses_nothing(network):
    balancer = network.start_balancer("10.0.0.5")
    balancer.runtime.directory = type(balancer.runtime.directory)()
    client = network.new_client()
    client.connect("10.0.0.5")
    network.clock.run(0.1)

    assert client.resets == 0


def test_new_flows_spread_by_load(network):
    clients = network.open_clients(8)
    for client in clients:
        client.ask("10.0.0.1")
    network.clock.run(0.01)
    later = network.open_clients(4)

    counts = [len(host.flows) for host in network.hosts.values()]
    assert all(client.is_open for client in later)
    assert max(counts) <= 4


def test_a_repeated_opening_reaches_the_host_that_answered_before(network):
    (client,) = network.open_clients(1)
    holder = [host for host in network.hosts.values() if host.flows]
    client.host_sequence = None
    client.send_opening("10.0.0.1", copy=1)
    network.clock.run(0.05)

    assert client.is_open
    assert [host for host in network.hosts.values() if host.flows] == holder


def test_the_service_endpoint_of_the_tests_is_routed(network):
    assert (
        SERVICE_ENDPOINT in network.balancers["10.0.0.1"].runtime.directory.view.routes
    )


def test_a_silent_agent_is_tried_again_after_its_back_off(network):
    address = next(iter(network.hosts))
    network.down.add(address)
    for _ in range(30):
        network.new_client().connect("10.0.0.1", copies=2)
        network.clock.run(0.3)
    network.down.discard(address)
    network.clock.run(40.0)
    network.open_clients(1)
    balancer = network.balancers["10.0.0.1"]

    assert not balancer.candidates.ejected


def test_suspicions_of_removed_agents_are_discarded(network):
    balancer = network.balancers["10.0.0.1"]
    balancer.placement.suspects.report_silence("10.0.9.9", now=network.clock.now())
    network.publish_routes()
    network.open_clients(1)

    assert "10.0.9.9" not in balancer.placement.suspects.suspicions


def test_a_late_copy_of_an_opening_packet_opens_no_second_flow(network):
    (client,) = network.open_clients(1)
    client.ask("10.0.0.1")
    network.clock.run(0.1)
    flows = sum(len(host.flows) for host in network.hosts.values())
    host_sequence, client.host_sequence = client.host_sequence, None
    client.send_opening("10.0.0.1", copy=1)
    network.clock.run(0.1)

    assert sum(len(host.flows) for host in network.hosts.values()) == flows
    client.host_sequence = host_sequence
    client.ask("10.0.0.1", sequence=100)
    network.clock.run(0.1)
    assert client.answers == 2
    assert not network.balancers["10.0.0.1"].runtime.counters.searched


def test_a_frame_with_a_malformed_packet_is_dropped(network):
    balancer = network.balancers["10.0.0.1"]
    frame = UnknownFlowFrame(balancer=bytes(4), service=1, packet=b"short")

    balancer.receive_frame(encode_frame(frame), ("10.0.1.1", 1))

    assert balancer.runtime.counters.dropped["malformed-packet"] == 1


def test_copies_that_were_queued_together_go_to_one_agent():
    network = Network()
    client = network.new_client()
    for copy in range(3):
        client.send_opening("10.0.0.1", copy)
    network.clock.run(0.05)

    assert network.balancers["10.0.0.1"].runtime.counters.placed == 1
    assert client.is_open


def slow_and_full_hosts(seconds):
    """Create a network of two hosts: one answers late, the other returns openings."""
    network = Network(hosts=2)
    slow, full = network.hosts.values()
    full.returns_openings = True
    receive = slow.receive
    slow.receive = lambda data: network.clock.call_later(seconds, lambda: receive(data))
    return network


def test_a_flow_is_not_reset_while_an_upstream_may_still_accept_it():
    network = slow_and_full_hosts(0.08)
    clients = [network.new_client() for _ in range(10)]
    for client in clients:
        client.connect("10.0.0.1")

    network.clock.run(0.5)

    assert all(client.is_open for client in clients)
    assert not any(client.resets for client in clients)


def test_a_repeated_opening_is_not_reset_while_the_first_may_be_accepted():
    network = slow_and_full_hosts(0.25)
    clients = [network.new_client() for _ in range(10)]
    for client in clients:
        client.connect("10.0.0.1", copies=1)
        network.clock.call_later(
            0.2, lambda client=client: client.send_opening("10.0.0.2", copy=1)
        )

    network.clock.run(0.6)

    assert not any(client.resets for client in clients)


def test_a_flow_that_every_upstream_returns_is_refused_at_once():
    network = Network(hosts=2)
    for host in network.hosts.values():
        host.returns_openings = True
    client = network.new_client()
    client.connect("10.0.0.1")

    network.clock.run(0.02)

    assert client.resets == 1


@pytest.mark.parametrize("delays", list(itertools.permutations((0.06, 0.2, 0.3))))
def test_a_flow_that_several_slow_upstreams_answer_continues_at_the_chosen_one(delays):
    network = Network(hosts=3)
    for host, seconds in zip(network.hosts.values(), delays, strict=True):
        receive = host.receive
        host.receive = lambda data, receive=receive, seconds=seconds: (
            network.clock.call_later(seconds, lambda: receive(data))
        )
    client = network.new_client()
    client.connect("10.0.0.1")
    network.clock.run(0.7)
    assert client.is_open

    client.ask("10.0.0.1")
    network.clock.run(1.0)

    assert client.resets == 0
    assert client.answers


def test_a_first_answer_at_a_restarted_agent_does_not_mark_the_flow_open():
    network = Network(hosts=2)
    client = network.new_client()
    client.connect("10.0.0.1")
    network.clock.run(0.0035)
    network.first_start = False
    for address in network.hosts:
        network.start_agent(address)
    network.clock.run(0.5)
    stages = {
        flow.stage
        for agent in network.agents.values()
        for flow in agent.flows.entries.values()
    }

    assert FlowStage.OPEN not in stages


def test_an_upstream_not_chosen_never_gets_a_flow_with_similar_sequence_numbers():
    network = Network(hosts=2, balancers=2)
    clients = network.open_clients(12)
    assert ask_all(network, clients, balancer="10.0.0.1") == 12
    for client in clients:
        # The other upstream has answered a copy of the opening packet, late.
        chosen = network.holder_of(client)
        (other,) = (host for host in network.hosts.values() if host is not chosen)
        ends = pack_endpoint(*client.end), pack_endpoint(*client.service)
        sequence = chosen.flows[ends[0] + ends[1]].sequence - 5_000
        other.flows[ends[0] + ends[1]] = HostFlow(sequence)
        other.send(ends[1], ends[0], flags=SYN | ACK, sequence=sequence)
    network.clock.run(0.05)

    answered = ask_all(network, clients, balancer="10.0.0.2", sequence=100)

    assert [client.resets for client in clients] == [0] * 12
    assert answered == 12


def test_a_slow_host_gets_fewer_long_flows():
    """Guards against agents that lose the utilization that a frame carries."""
    network = Network(hosts=6, slots=1)
    slow, *others = network.hosts.values()
    slow.work_seconds = 0.2
    for host in others:
        host.work_seconds = 0.08
    for _ in range(60):
        clients = network.open_clients(1)
        assert ask_all(network, clients, balancer="10.0.0.1", seconds=0.25)
    reasons = [
        fields["reason"]
        for agent in network.agents.values()
        for name, fields in agent.runtime.log.lines
        if name == "opening-passed"
    ]

    assert len(slow.flows) < 0.5 * sum(len(host.flows) for host in others) / 5
    assert {"compared", "least-busy"} <= set(reasons)
