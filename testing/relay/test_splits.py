"""Open flows keep their host when the services that their route names change."""

from socket import inet_aton

import pytest
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from daisygauge_control import HostState
from daisygauge_relay._candidates import choose_service

from .network import (
    SERVICE,
    SERVICE_ENDPOINT,
    Network,
    ask_all,
    pack_endpoint,
    refresh_directories,
)

SMALL_SERVICE = "order-desk-trial"
UNRELATED_SERVICE = "pattern-library"
SPLIT = ((SERVICE, 1.0), (SMALL_SERVICE, 1.0))
SETTLED_SECONDS = 3.0
SEARCH_SECONDS = 0.3
"""Longest search for a flow whose agent answers, however many others are silent."""
CLIENTS = 20


@pytest.fixture
def network():
    network = Network()
    network.add_host("10.0.1.8", service=SMALL_SERVICE)
    network.add_host("10.0.1.9", service=SMALL_SERVICE)
    network.add_host("10.0.2.1", service=UNRELATED_SERVICE)
    return network


def open_split(network):
    """Open flows while the route names both services."""
    network.publish_routes(services=SPLIT)
    clients = network.open_clients(CLIENTS)
    assert ask_all(network, clients, balancer="10.0.0.1") == CLIENTS
    return clients


def services_of(network, clients):
    return {network.holder_of(client).service for client in clients}


def settle(network):
    """Wait until processes may rely on their directory to list every host."""
    network.clock.run(SETTLED_SECONDS)
    refresh_directories(network)


def test_a_flow_outlives_its_split_through_a_balancer_without_state_of_it(network):
    clients = open_split(network)
    assert services_of(network, clients) == {SERVICE, SMALL_SERVICE}
    network.publish_routes()
    network.start_balancer("10.0.0.2")
    settle(network)

    answered = ask_all(network, clients, balancer="10.0.0.2", sequence=100)

    assert [client.resets for client in clients] == [0] * CLIENTS
    assert answered == CLIENTS


def test_a_flow_outlives_its_split_when_every_process_restarts(network):
    clients = open_split(network)
    network.publish_routes()
    network.first_start = False
    for address in list(network.agents):
        network.start_agent(address)
    network.start_balancer("10.0.0.2")
    settle(network)

    answered = ask_all(network, clients, balancer="10.0.0.2", sequence=100)

    assert [client.resets for client in clients] == [0] * CLIENTS
    assert answered == CLIENTS


def test_a_flow_outlives_its_split_while_its_last_host_drains(network):
    clients = open_split(network)
    network.publish_routes()
    for host in network.hosts.values():
        if host.service == SMALL_SERVICE:
            network.publish_host(host, state=HostState.DRAINING)
    network.start_balancer("10.0.0.2")
    settle(network)

    answered = ask_all(network, clients, balancer="10.0.0.2", sequence=100)

    assert [client.resets for client in clients] == [0] * CLIENTS
    assert answered == CLIENTS


def hosts_asked(network, service):
    """Return the hosts of a service that received an opening packet."""
    hosts = network.hosts.values()
    return [host for host in hosts if host.service == service and host.flows]


@pytest.mark.parametrize("share", [(), ((SERVICE, 0.0),)])
@pytest.mark.parametrize("copy", [1, 2])
def test_a_copy_of_an_opening_packet_follows_the_version_that_moved_its_route(
    network, share, copy
):
    """The agent that got the first packet stands still while the route moves."""
    client = network.new_client()
    network.down.update(network.agents)
    client.send_opening("10.0.0.1")
    network.clock.run(0.1)
    network.down.clear()
    network.publish_routes(services=(*share, (SMALL_SERVICE, 1.0)))
    network.clock.run(0.1)

    client.send_opening("10.0.0.1", copy)
    network.clock.run(0.1)

    assert ask_all(network, [client], balancer="10.0.0.1") == 1
    assert network.holder_of(client).service == SMALL_SERVICE
    assert not hosts_asked(network, SERVICE)


def test_copies_stay_at_a_service_that_keeps_a_share(network):
    """A change of weights alone must not open flows at hosts of two services."""
    clients = [network.new_client() for _ in range(4)]
    network.down.update(network.agents)
    for client in clients:
        client.send_opening("10.0.0.1")
    network.clock.run(0.2)
    network.down.clear()
    network.publish_routes(services=((SERVICE, 0.01), (SMALL_SERVICE, 1.0)))

    for client in clients:
        client.send_opening("10.0.0.1", 1)
    network.clock.run(0.1)

    assert all(client.is_open for client in clients)
    assert not hosts_asked(network, SMALL_SERVICE)


def test_a_copy_goes_to_the_upstream_that_answered_before_the_route_moved(network):
    """The answer to the first packet was lost; the flow is open at that upstream."""
    client = network.new_client()
    network.cut |= {(agent, client.end[0]) for agent in network.agents}
    client.send_opening("10.0.0.1")
    network.clock.run(0.2)
    network.cut.clear()
    network.publish_routes(services=((SMALL_SERVICE, 1.0),))

    client.send_opening("10.0.0.1", 1)
    network.clock.run(0.1)

    assert ask_all(network, [client], balancer="10.0.0.1") == 1
    assert network.holder_of(client).service == SERVICE


@given(data=st.data())
@settings(max_examples=30, deadline=None)
def test_a_flow_of_a_moved_route_is_found_while_other_agents_are_silent(data):
    """A silent agent of the route's new service must not hide the old one's flows."""
    network = Network()
    services = ["moved-1", "moved-2"]
    for number, service in enumerate(services * 2):
        network.add_host(f"10.0.3.{number + 1}", service=service)
    clients = network.open_clients(CLIENTS)
    assert ask_all(network, clients, balancer="10.0.0.1") == CLIENTS
    moves = data.draw(st.lists(st.sampled_from(services), min_size=1, max_size=3))
    for service in moves:
        network.publish_routes(services=((service, 1.0),))
    network.start_balancer("10.0.0.2")
    settle(network)
    others = [a for a, host in network.hosts.items() if host.service != SERVICE]
    silent = data.draw(st.sets(st.sampled_from(others), max_size=len(others)))
    network.down.update(silent)
    # The balancer asks an agent that answers; its next copy would ask another one.
    searching = tuple(inet_aton(a) for a in network.agents if a not in silent)
    candidates = network.balancers["10.0.0.2"].candidates
    candidates.order_all = lambda tag, flow: searching

    answered = ask_all(
        network, clients, balancer="10.0.0.2", sequence=100, seconds=SEARCH_SECONDS
    )

    assert answered == CLIENTS
    assert [client.resets for client in clients] == [0] * CLIENTS


def test_a_flow_is_found_while_the_service_of_its_route_has_no_host(network):
    clients = open_split(network)
    network.publish_routes(services=(("not-there-yet", 1.0),))
    network.start_balancer("10.0.0.2")
    settle(network)

    answered = ask_all(network, clients, balancer="10.0.0.2", sequence=100)

    assert answered == CLIENTS


def test_a_flow_of_a_withdrawn_split_is_not_reset_while_its_agent_is_silent(network):
    clients = open_split(network)
    network.publish_routes()
    network.start_balancer("10.0.0.2")
    settle(network)
    network.down.update({"10.0.1.8", "10.0.1.9"})

    ask_all(network, clients, balancer="10.0.0.2", sequence=100)

    assert [client.resets for client in clients] == [0] * CLIENTS


def test_a_flow_that_no_host_of_any_service_holds_is_reset(network):
    clients = open_split(network)
    network.publish_routes()
    for host in network.hosts.values():
        host.flows.clear()
        network.publish_host(host, incarnation=2)
    network.first_start = False
    for address in list(network.agents):
        network.start_agent(address)
    network.start_balancer("10.0.0.2")
    settle(network)

    ask_all(network, clients, balancer="10.0.0.2", sequence=100)

    assert [client.resets for client in clients] == [1] * CLIENTS


def test_agents_of_other_services_are_queried_only_when_the_route_agents_fail(network):
    clients = open_split(network)
    settle(network)
    network.sent.clear()

    assert ask_all(network, clients, balancer="10.0.0.2", sequence=100) == CLIENTS

    assert network.sent["10.0.2.1"] == 0


def test_a_withdrawn_service_gets_no_new_flow(network):
    open_split(network)
    network.publish_routes()

    fresh = network.open_clients(CLIENTS)

    assert ask_all(network, fresh, balancer="10.0.0.1") == CLIENTS
    assert services_of(network, fresh) == {SERVICE}


@pytest.mark.parametrize("weights", [(1.0, 1.0), (9.0, 1.0), (3.0, 5.0)])
def test_new_flows_follow_the_weights_of_a_split(network, weights):
    network.publish_routes(
        services=((SERVICE, weights[0]), (SMALL_SERVICE, weights[1]))
    )
    (route,) = network.directories["10.0.0.1"].view.routes.values()
    flows = 10_000
    chosen = [
        choose_service(
            route,
            pack_endpoint(f"100.64.{number % 200}.{number // 200}", 1_024 + number)
            + pack_endpoint(*SERVICE_ENDPOINT),
        )
        for number in range(flows)
    ]

    assert chosen.count(SERVICE) / flows == pytest.approx(
        weights[0] / sum(weights), abs=0.02
    )


class SplitMachine(RuleBasedStateMachine):
    """Versions, restarts and searches in any order never reset an open flow."""

    @initialize()
    def begin(self):
        self.network = Network(hosts=3, balancers=2)
        self.network.add_host("10.0.1.8", service=SMALL_SERVICE)
        self.network.add_host("10.0.2.1", service=UNRELATED_SERVICE)
        self.clients = []
        self.sequence = 1

    @rule(small=st.sampled_from([0.0, 0.5, 5.0]), main=st.sampled_from([0.0, 1.0]))
    def publish(self, small, main):
        shares = ((SERVICE, main), (SMALL_SERVICE, small))
        named = tuple(share for share in shares if share[1])
        if named:
            self.network.publish_routes(services=named)

    @precondition(lambda self: len(self.clients) < 12)
    @rule(balancer=st.sampled_from(["10.0.0.1", "10.0.0.2"]))
    def open(self, balancer):
        self.clients += self.network.open_clients(2, balancer=balancer)

    @rule(balancer=st.sampled_from(["10.0.0.1", "10.0.0.2"]))
    def restart_balancer(self, balancer):
        self.network.first_start = False
        self.network.start_balancer(balancer)

    @rule(agent=st.sampled_from(["10.0.1.1", "10.0.1.2", "10.0.1.8", "10.0.2.1"]))
    def restart_agent(self, agent):
        self.network.first_start = False
        self.network.start_agent(agent)

    @rule(seconds=st.sampled_from([0.1, 3.0, 16.0]))
    def wait(self, seconds):
        self.network.clock.run(seconds)
        refresh_directories(self.network)

    @rule(host=st.sampled_from(["10.0.1.1", "10.0.1.8"]))
    def drain_host(self, host):
        self.network.publish_host(self.network.hosts[host], state=HostState.DRAINING)

    @rule(balancer=st.sampled_from(["10.0.0.1", "10.0.0.2"]))
    def ask(self, balancer):
        self.sequence += 50
        is_open = [client for client in self.clients if client.is_open]
        answered = ask_all(
            self.network, is_open, balancer=balancer, sequence=self.sequence
        )
        assert answered == len(is_open)

    @invariant()
    def no_open_flow_is_reset(self):
        resets = [c for c in getattr(self, "clients", ()) if c.is_open and c.resets]
        assert not resets


SplitMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)
TestSplitMachine = SplitMachine.TestCase
