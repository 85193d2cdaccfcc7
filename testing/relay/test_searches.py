"""Searches for the agent of a flow send few frames from and to balancers."""

import pytest

from .network import Network

HOSTS = 40


@pytest.fixture
def network():
    return Network(hosts=HOSTS)


def ask_all(network, clients, *, balancer, sequence):
    for client in clients:
        client.ask(balancer, sequence=sequence)
    network.clock.run(0.3)
    return sum(client.answers > 0 for client in clients)


def restart_everything(network):
    network.first_start = False
    for address, host in network.hosts.items():
        host.flows.clear()
        network.publish_host(host, incarnation=2)
        network.start_agent(address)
    network.start_balancer("10.0.0.2")
    for directory in network.directories.values():
        directory.replace(
            list(network.records.values()),
            as_of=network.revision,
            now=network.clock.now(),
        )


def test_a_balancer_sends_no_more_frames_than_it_gets_packets(network):
    clients = network.open_clients(20)
    network.sent.clear()

    answered = ask_all(network, clients, balancer="10.0.0.2", sequence=1)

    assert answered == 20
    assert network.sent["10.0.0.2"] <= 20


def test_a_balancer_gets_one_answer_for_a_flow_that_no_host_holds(network):
    clients = network.open_clients(20)
    restart_everything(network)
    received = []
    receive = network.balancers["10.0.0.2"].receive_frame
    network.balancers["10.0.0.2"].receive_frame = lambda data, sender: (
        received.append(data),
        receive(data, sender),
    )

    ask_all(network, clients, balancer="10.0.0.2", sequence=1)

    assert [client.resets for client in clients] == [1] * 20
    assert len(received) <= 20


def test_a_silent_agent_asked_first_costs_one_retransmission(network):
    clients = network.open_clients(20)
    silent = next(address for address, host in network.hosts.items() if not host.flows)
    network.down.add(silent)

    answered = [
        ask_all(network, clients, balancer="10.0.0.2", sequence=1) for _ in range(2)
    ]

    assert answered[-1] == 20


def test_an_agent_that_has_changed_its_service_still_finds_a_flow(network):
    clients = network.open_clients(20)
    stale = network.directories.pop("10.0.0.2")
    for host in network.hosts.values():
        if not host.flows:
            host.service = "pattern-library"
            network.publish_host(host, incarnation=2)
    network.directories["10.0.0.2"] = stale

    answered = ask_all(network, clients, balancer="10.0.0.2", sequence=1)

    assert answered == 20


def test_a_lost_flow_is_reset_once_the_last_agent_has_begun(network):
    """The client repeats nothing; the searching agents repeat their queries."""
    clients = network.open_clients(20)
    restart_everything(network)
    late = list(network.hosts)[:3]
    network.down.update(late)
    for client in clients:
        client.ask("10.0.0.2")
    network.clock.run(0.25)
    assert sum(client.resets for client in clients) == 0

    network.down.difference_update(late)
    network.clock.run(0.41)

    # A search whose own agent was away needs the client's next packet.
    assert sum(client.resets for client in clients) >= 17


def test_a_found_flow_is_queried_once_and_its_packet_delivered_once(network):
    clients = network.open_clients(20)
    queried = sum(agent.runtime.counters.queried for agent in network.agents.values())

    ask_all(network, clients, balancer="10.0.0.2", sequence=1)
    network.clock.run(3.0)

    asked = sum(agent.runtime.counters.queried for agent in network.agents.values())
    assert asked - queried <= 20 * HOSTS
    assert not any(agent.searches.pending.searches for agent in network.agents.values())
    assert [len(host.executed) for host in network.hosts.values()] == [
        sum(flow.data_packets for flow in host.flows.values())
        for host in network.hosts.values()
    ]


def test_a_repeated_query_gives_the_upstream_no_second_copy(network):
    clients = network.open_clients(20)
    network.first_start = False
    for address in network.hosts:
        network.start_agent(address)
    for host in network.hosts.values():
        host.work_seconds = 0.15

    ask_all(network, clients, balancer="10.0.0.2", sequence=1)

    copies = [f.data_packets for h in network.hosts.values() for f in h.flows.values()]
    assert copies == [1] * 20
