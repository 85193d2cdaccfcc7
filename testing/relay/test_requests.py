"""Requests wait at the agent instead of in the host's queue."""

import pytest

from daisygauge_platform._packets import FIN

from .network import ACK, RST, Network, pack_endpoint, pack_packet


@pytest.fixture
def network():
    return Network(hosts=1, slots=2)


def test_a_host_never_has_more_than_one_request_waiting(network):
    clients = network.open_clients(12)
    for client in clients:
        client.ask("10.0.0.1")
    network.clock.run(0.5)

    (host,) = network.hosts.values()
    assert host.max_pending <= host.slots + 1
    assert all(client.answers == 1 for client in clients)


def test_each_request_runs_once_though_it_is_repeated_while_it_waits(network):
    clients = network.open_clients(12)
    for client in clients:
        client.ask("10.0.0.1", body=b"POST / " + str(client.end).encode())
        client.ask("10.0.0.1", body=b"POST / " + str(client.end).encode())
    network.clock.run(0.02)
    for client in clients:
        client.ask("10.0.0.1", body=b"POST / " + str(client.end).encode())
    network.clock.run(1.0)

    (host,) = network.hosts.values()
    assert sorted(host.executed) == sorted(
        {b"POST / " + str(client.end).encode() for client in clients}
    )


def test_a_request_whose_client_has_given_up_does_not_run(network):
    (host,) = network.hosts.values()
    host.work_seconds = 5.0
    clients = network.open_clients(6)
    for client in clients:
        client.ask("10.0.0.1")
    network.clock.run(0.9)
    agent = network.agents[host.address]
    network.clock.run(1.0)
    agent.requests.apply(agent.scheduler.dispatch(now=network.clock.now()))
    network.clock.run(8.0)

    assert len(host.executed) < 6
    assert agent.runtime.log.names()["request-expired"] >= 1


def test_a_stopping_agent_delivers_every_held_request(network):
    (host,) = network.hosts.values()
    clients = network.open_clients(8)
    for client in clients:
        client.ask("10.0.0.1")
    network.clock.run(0.01)
    network.agents[host.address].stop()
    network.clock.run(1.0)

    assert len(host.executed) == 8


def acknowledge_from_host(network, host, client):
    """Let the host acknowledge a packet; its agent learns that the flow is open."""
    data = pack_packet(
        client.service, client.end, flags=ACK, sequence=client.host_sequence + 1
    )
    network.from_host(host.address, data)


def test_a_flow_goes_on_after_its_request_is_answered_while_it_is_held(network):
    """A restarted agent takes the repeat of a running request for a new one."""
    (host,) = network.hosts.values()
    host.work_seconds = 0.3
    client, *others = network.open_clients(4)
    client.ask("10.0.0.1")
    network.clock.run(0.01)
    network.first_start = False
    agent = network.start_agent(host.address)
    for known in (client, *others):
        acknowledge_from_host(network, host, known)
    network.clock.run(0.01)
    for repeating in (*others, client):
        repeating.ask("10.0.0.1")
    network.clock.run(0.01)
    assert len(agent.requests.held) == 1
    network.clock.run(1.0)

    client.ask("10.0.0.1", sequence=100)
    network.clock.run(1.0)

    assert client.answers == 2
    assert not agent.requests.held


def test_the_deadline_of_a_late_first_request_starts_at_its_arrival(network):
    (client,) = network.open_clients(1)
    network.clock.run(3.0)

    client.ask("10.0.0.1")
    network.clock.run(0.2)

    assert client.answers == 1


def reset_from_host(network, host, client):
    """Let the host end a client's flow without an answer."""
    data = pack_packet(client.service, client.end, flags=RST | ACK, sequence=5)
    network.from_host(host.address, data)
    network.clock.run(0.01)


def test_a_flow_that_the_host_resets_frees_its_slot(network):
    (host,) = network.hosts.values()
    host.work_seconds = 60.0
    scheduler = network.agents[host.address].scheduler
    (client,) = network.open_clients(1)
    client.ask("10.0.0.1")
    network.clock.run(0.05)
    assert len(scheduler.running) == 1

    reset_from_host(network, host, client)

    assert not scheduler.running


def test_data_on_a_flow_that_the_host_has_reset_takes_no_slot(network):
    (host,) = network.hosts.values()
    scheduler = network.agents[host.address].scheduler
    (client,) = network.open_clients(1)
    reset_from_host(network, host, client)

    client.ask("10.0.0.1")
    network.clock.run(0.01)

    assert not scheduler.running
    assert not scheduler.waiting


def test_a_waiting_request_whose_client_resets_the_flow_does_not_run(network):
    (host,) = network.hosts.values()
    host.work_seconds = 0.4
    clients = network.open_clients(4)
    for client in clients:
        client.ask("10.0.0.1", body=b"GET /" + str(client.end[1]).encode())
    network.clock.run(0.01)
    agent = network.agents[host.address]
    (waiting,) = agent.scheduler.waiting

    (gone,) = [c for c in clients if pack_endpoint(*c.end) == waiting[:6]]
    reset = pack_packet(gone.end, gone.service, flags=RST, sequence=30)
    network.to_balancer("10.0.0.1", reset)
    network.clock.run(2.0)

    assert len(host.executed) == 3
    assert agent.runtime.counters.dropped["request-abandoned"] == 1


def test_a_request_whose_client_has_sent_its_last_byte_is_answered(network):
    (host,) = network.hosts.values()
    host.work_seconds = 0.1
    clients = network.open_clients(4)
    for client in clients:
        client.ask("10.0.0.1")
        end = pack_packet(
            client.end, client.service, flags=FIN | ACK, sequence=30,
            acknowledged=client.host_sequence + 1,
        )  # fmt: skip
        network.to_balancer("10.0.0.1", end)
    network.clock.run(1.0)

    assert [client.answers for client in clients] == [1] * 4
