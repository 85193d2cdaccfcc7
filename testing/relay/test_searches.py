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
