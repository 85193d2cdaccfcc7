"""New flows of a split route use free slots of its other service."""

import json

import pytest
from msgspec.structs import replace

from daisygauge_relay._candidates import choose_service
from daisygauge_relay._settings import (
    RelayAgentSettings,
    RelaySettingsError,
    parse_relay_settings,
)

from .network import (
    SERVICE,
    Network,
    ask_all,
    pack_endpoint,
    refresh_directories,
)

SMALL_SERVICE = "order-desk-trial"
SPLIT = ((SERVICE, 1.0), (SMALL_SERVICE, 1.0))
BALANCER = "10.0.0.1"


@pytest.fixture
def network():
    network = Network()
    network.add_host("10.0.1.9", service=SMALL_SERVICE)
    network.publish_routes(services=SPLIT)
    return network


def clients_of(network, service, count):
    """Return new clients whose flows are placed for a service."""
    view = network.balancers[BALANCER].runtime.directory.view
    (route,) = view.routes.values()
    chosen = []
    while len(chosen) < count:
        client = network.new_client()
        key = flow_key(client)
        if choose_service(route, key) == service:
            chosen.append(client)
    return chosen


def flow_key(client):
    return pack_endpoint(*client.end) + pack_endpoint(*client.service)


def open_all(network, clients):
    for client in clients:
        client.connect(BALANCER)
    network.clock.run(0.06)


def occupy(network, service, *, seconds=0.6):
    """Let each host of a service run as many requests as it has slots."""
    hosts = [host for host in network.hosts.values() if host.service == service]
    for host in hosts:
        host.work_seconds = seconds
    clients = clients_of(network, service, sum(host.slots for host in hosts))
    for client in clients:
        open_all(network, [client])
        client.ask(BALANCER)
    network.clock.run(0.01)


def overflowed(network):
    return sum(agent.runtime.counters.overflowed for agent in network.agents.values())


def test_a_flow_of_a_busy_service_opens_at_a_free_host_of_the_other_one(network):
    occupy(network, SMALL_SERVICE)
    clients = clients_of(network, SMALL_SERVICE, 3)

    open_all(network, clients)

    assert [network.holder_of(client) for client in clients] == [None] * 3
    assert ask_all(network, clients, balancer=BALANCER, seconds=0.2) == 3
    assert {network.holder_of(client).service for client in clients} == {SERVICE}
    assert overflowed(network) == 3


def test_a_flow_stays_at_its_service_while_a_slot_is_free(network):
    clients = clients_of(network, SMALL_SERVICE, 2)

    for client in clients:
        open_all(network, [client])
        assert ask_all(network, [client], balancer=BALANCER, seconds=0.2) == 1

    assert {network.holder_of(client).service for client in clients} == {SMALL_SERVICE}
    assert overflowed(network) == 0


def test_a_flow_goes_back_to_its_service_when_both_are_busy(network):
    occupy(network, SMALL_SERVICE)
    occupy(network, SERVICE)
    clients = clients_of(network, SMALL_SERVICE, 2)

    open_all(network, clients)
    answered = ask_all(network, clients, balancer=BALANCER, seconds=2.0)

    assert answered == 2
    assert {network.holder_of(client).service for client in clients} == {SMALL_SERVICE}


def test_a_flow_opens_at_the_other_service_when_every_host_of_its_own_leaves(network):
    network.agents["10.0.1.9"].runtime.is_leaving = True
    clients = clients_of(network, SMALL_SERVICE, 3)

    open_all(network, clients)

    assert all(client.is_open and not client.resets for client in clients)


@pytest.mark.parametrize("fixed", ["*", "198.18.0.1:443"])
def test_a_route_with_fixed_weights_keeps_its_flows(network, fixed):
    occupy(network, SMALL_SERVICE)
    for agent in network.agents.values():
        agent.runtime.settings = agent_settings(agent, fixed)
    clients = clients_of(network, SMALL_SERVICE, 3)

    open_all(network, clients)
    ask_all(network, clients, balancer=BALANCER, seconds=2.0)

    assert {network.holder_of(client).service for client in clients} == {SMALL_SERVICE}


def agent_settings(agent, fixed):
    return replace(agent.runtime.settings, fixed_weight_routes=(fixed,))


def test_no_flow_crosses_to_a_share_of_weight_0(network):
    network.publish_routes(services=((SERVICE, 0.0), (SMALL_SERVICE, 1.0)))
    occupy(network, SMALL_SERVICE)
    clients = clients_of(network, SMALL_SERVICE, 3)

    open_all(network, clients)
    ask_all(network, clients, balancer=BALANCER, seconds=2.0)

    assert {network.holder_of(client).service for client in clients} == {SMALL_SERVICE}


def test_no_flow_crosses_to_a_service_that_the_newer_version_no_longer_names(network):
    """Agents of the small service still know the version with the split."""
    occupy(network, SMALL_SERVICE)
    clients = clients_of(network, SMALL_SERVICE, 3)
    stale = network.directories.pop("10.0.1.9")
    network.publish_routes(services=((SMALL_SERVICE, 1.0),))
    network.directories["10.0.1.9"] = stale

    open_all(network, clients)
    ask_all(network, clients, balancer=BALANCER, seconds=2.0)

    assert {network.holder_of(client).service for client in clients} == {SMALL_SERVICE}


def publish_to_balancers(network, services):
    """Publish a version of the route that no agent knows yet."""
    stale = {address: network.directories.pop(address) for address in network.agents}
    network.publish_routes(services=services)
    network.directories |= stale


@pytest.mark.parametrize("others", [(), (("order-desk-next", 1.0),)])
def test_no_flow_crosses_to_a_service_that_its_balancer_knows_is_withdrawn(
    network, others
):
    """A watcher that stands still delays the new version at the agents by 1.5 s."""
    network.add_host("10.0.1.8", service="order-desk-next")
    occupy(network, SMALL_SERVICE)
    publish_to_balancers(network, ((SMALL_SERVICE, 1.0), *others))
    clients = clients_of(network, SMALL_SERVICE, 3)

    open_all(network, clients)
    ask_all(network, clients, balancer=BALANCER, seconds=2.0)

    assert {network.holder_of(client).service for client in clients} == {SMALL_SERVICE}


def test_no_flow_crosses_to_a_service_that_its_balancer_does_not_know_yet(network):
    """Later flows of that balancer would be served by the older version again."""
    network.publish_routes(services=((SMALL_SERVICE, 1.0),))
    occupy(network, SMALL_SERVICE)
    stale = network.directories.pop(BALANCER)
    network.publish_routes(services=SPLIT)
    network.directories[BALANCER] = stale
    clients = clients_of(network, SMALL_SERVICE, 3)

    open_all(network, clients)
    ask_all(network, clients, balancer=BALANCER, seconds=2.0)

    assert {network.holder_of(client).service for client in clients} == {SMALL_SERVICE}


def test_flows_cross_while_only_the_weights_of_the_versions_differ(network):
    occupy(network, SMALL_SERVICE)
    publish_to_balancers(network, ((SERVICE, 1.0), (SMALL_SERVICE, 9.0)))
    clients = clients_of(network, SMALL_SERVICE, 3)

    open_all(network, clients)

    assert overflowed(network) == 3


def test_flows_of_a_balancer_of_an_older_version_cross(network, monkeypatch):
    """Such a balancer sends no route tag during a rolling update."""
    monkeypatch.setattr("daisygauge_relay._placement.route_tag", lambda route: None)
    occupy(network, SMALL_SERVICE)
    clients = clients_of(network, SMALL_SERVICE, 3)

    open_all(network, clients)

    assert overflowed(network) == 3


def test_a_flow_that_crossed_is_found_by_a_balancer_without_state_of_it(network):
    occupy(network, SMALL_SERVICE)
    clients = clients_of(network, SMALL_SERVICE, 3)
    open_all(network, clients)
    assert ask_all(network, clients, balancer=BALANCER, seconds=0.2) == 3
    network.start_balancer("10.0.0.2")
    refresh_directories(network)

    answered = ask_all(network, clients, balancer="10.0.0.2", sequence=100)

    assert (answered, [client.resets for client in clients]) == (3, [0] * 3)


def test_a_flow_goes_back_when_the_other_service_s_upstream_returns_it(network):
    occupy(network, SMALL_SERVICE)
    for host in network.hosts.values():
        host.returns_openings = host.service == SERVICE
    clients = clients_of(network, SMALL_SERVICE, 3)

    open_all(network, clients)

    assert all(client.is_open for client in clients)
    ask_all(network, clients, balancer=BALANCER, seconds=2.0)
    assert {network.holder_of(client).service for client in clients} == {SMALL_SERVICE}


def test_a_fixed_route_that_is_no_address_is_refused():
    with pytest.raises(RelaySettingsError, match="IPv4 address"):
        load(fixed_weight_routes=["order-desk"])


def test_fixed_routes_are_read():
    settings = load(fixed_weight_routes=["*", "198.18.0.1:443"])

    assert settings.fixed_weight_routes == ("*", "198.18.0.1:443")


def load(**fields):
    known = {
        "id": "agent-1", "region": "r", "failure_domain": "a", "host": "10.0.1.1",
        "client_address": "10.0.1.1:8172", "ready": "10.0.1.1:8167",
        "inner_ports": [7720, 7735], "platform": "10.200.1.7:8169",
        "service": "order-desk", "upstream": "10.0.1.1:9000",
        "outbound": "10.0.1.1:9001",
    }  # fmt: skip
    return parse_relay_settings(
        json.dumps(known | fields), RelayAgentSettings, name="agent.json"
    )
