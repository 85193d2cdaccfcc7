"""Requests wait at the agent instead of in the host's queue."""

import pytest

from .network import Network


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
    waited = [body for body in host.executed if host.executed.count(body) == 1]
    assert len(waited) >= 9


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


def test_the_deadline_of_a_late_first_request_starts_at_its_arrival(network):
    (client,) = network.open_clients(1)
    network.clock.run(3.0)

    client.ask("10.0.0.1")
    network.clock.run(0.2)

    assert client.answers == 1
