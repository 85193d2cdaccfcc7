"""Entries that other programs write to the store take no host away from its flows."""

import pytest

from .network import SERVICE, Network, ask_all, refresh_directories

FOREIGN_SERVICE = "node-exporter"


@pytest.fixture
def network():
    return Network()


def register_beside(network, host):
    """Publish an entry of a service that no route names, at a host's address."""
    host.service = FOREIGN_SERVICE
    network.publish_host(host, incarnation=9)
    host.service = SERVICE


def test_hosts_beside_foreign_entries_get_new_flows(network):
    for host in network.hosts.values():
        register_beside(network, host)

    clients = network.open_clients(20)

    assert all(client.is_open for client in clients)
    assert all(host.flows for host in network.hosts.values())


def test_flows_of_a_host_beside_a_foreign_entry_outlive_the_restart_of_agents(network):
    clients = network.open_clients(20)
    assert ask_all(network, clients, balancer="10.0.0.1") == 20
    register_beside(network, network.hosts["10.0.1.1"])
    network.first_start = False
    for address in list(network.agents):
        network.start_agent(address)
    network.clock.run(3.0)
    refresh_directories(network)

    answered = ask_all(network, clients, balancer="10.0.0.1", sequence=100)

    assert [client.resets for client in clients] == [0] * 20
    assert answered == 20
