"""Late and duplicate packets, and those after an outage, are handled correctly."""

import pytest

from .network import Network, ask_all, refresh_directories


@pytest.fixture
def network():
    return Network(hosts=1, balancers=1, slots=1)


def only(mapping):
    (value,) = mapping.values()
    return value


def record_answers(network):
    """Record every packet with data that the host sends."""
    host, sent = only(network.hosts), []
    deliver = network.from_host

    def from_host(address, data):
        if len(data) > 31:
            sent.append(data)
        deliver(address, data)

    network.from_host = from_host
    return host, sent, deliver


def test_a_late_copy_of_an_answer_does_not_answer_the_next_request(network):
    host, sent, deliver = record_answers(network)
    (client,) = network.open_clients(1)
    assert ask_all(network, [client], balancer="10.0.0.1") == 1
    host.work_seconds = 0.2
    client.ask("10.0.0.1", sequence=100)
    network.clock.run(0.05)
    agent = only(network.agents)
    running = dict(agent.scheduler.running)

    deliver(host.address, sent[0])
    network.clock.run(0.05)

    assert running
    assert agent.scheduler.running == running
    assert agent.runtime.log.names()["request-answered"] == 1


def test_a_late_copy_of_an_answer_reaches_only_its_own_client(network):
    host, sent, deliver = record_answers(network)
    clients = network.open_clients(5)
    assert ask_all(network, clients, balancer="10.0.0.1") == 5
    before = [client.answers for client in clients]

    deliver(host.address, sent[0])
    network.clock.run(0.05)

    after = [client.answers for client in clients]
    assert sum(after) - sum(before) == 1


def test_requests_at_a_temporarily_unreachable_host_run_once_and_are_answered():
    network = Network(hosts=3, balancers=1)
    clients = network.open_clients(12)
    assert ask_all(network, clients, balancer="10.0.0.1") == 12
    address = next(network.holder_of(client).address for client in clients)
    mine = [c for c in clients if network.holder_of(c).address == address]
    ran = {a: len(host.executed) for a, host in network.hosts.items()}
    network.down.add(address)
    for _ in range(3):
        for client in mine:
            client.ask("10.0.0.1", sequence=100)
        network.clock.run(1.0)
        refresh_directories(network)
    network.down.discard(address)

    answered = ask_all(network, mine, balancer="10.0.0.1", sequence=100)

    assert mine
    assert answered == len(mine)
    assert [client.resets for client in mine] == [0] * len(mine)
    others = [a for a in network.hosts if a != address]
    assert [len(network.hosts[a].executed) for a in others] == [ran[a] for a in others]
    assert len(network.hosts[address].executed) == ran[address] + len(mine)


def test_a_flow_of_a_frozen_balancer_continues_through_another_and_back():
    network = Network(hosts=3, balancers=2)
    clients = network.open_clients(12)
    assert ask_all(network, clients, balancer="10.0.0.1") == 12
    network.down.add("10.0.0.1")
    assert ask_all(network, clients, balancer="10.0.0.2", sequence=100) == 12
    network.clock.run(30.0)
    refresh_directories(network)
    network.down.discard("10.0.0.1")

    assert ask_all(network, clients, balancer="10.0.0.1", sequence=200) == 12
    assert [client.resets for client in clients] == [0] * 12


def test_a_flow_is_not_reset_when_the_answer_to_its_opening_packet_was_lost():
    network = Network(hosts=2, balancers=1)
    client = network.new_client()
    network.cut.update((host, "100.64.0.1") for host in network.hosts)
    client.connect("10.0.0.1", copies=3)
    network.clock.run(1.3)
    accepted = [host for host in network.hosts.values() if host.flows]

    assert accepted
    assert client.resets == 0
