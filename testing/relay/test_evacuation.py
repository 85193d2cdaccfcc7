"""No new flow reaches a host of an evacuated failure domain; open flows stay there."""

from collections import Counter
from socket import inet_aton, inet_ntoa

import pytest
from hypothesis import given, settings, strategies as st

from daisygauge_control import Directory, DirectoryItem, HostState
from daisygauge_relay._candidates import service_tag
from daisygauge_wire import OpenFrame, encode_frame

from .network import (
    HEADER,
    SERVICE,
    SERVICE_ENDPOINT,
    SYN,
    Network,
    ask_all,
    pack_endpoint,
    pack_packet,
    refresh_directories,
)
from .test_overflow import SMALL_SERVICE, SPLIT, clients_of, flow_key, occupy, open_all

BALANCER = "10.0.0.1"
OTHER_BALANCER = "10.0.0.2"
EVACUATED = ("10.0.1.1", "10.0.1.2")
REMAINING = ("10.0.1.3", "10.0.1.4")
FLOWS = 24


@pytest.fixture
def network():
    """Two hosts in failure domain a and two in b."""
    network = Network(hosts=0)
    for address in EVACUATED:
        network.add_host(address, failure_domain="a")
    for address in REMAINING:
        network.add_host(address, failure_domain="b")
    return network


def detach(network, name):
    """Cut a process off from changes; ``refresh_directories`` no longer reaches it."""
    return network.directories.pop(name)


def opened(network, addresses):
    return sum(len(network.hosts[address].flows) for address in addresses)


def openings_passed(network, reason):
    return sum(
        fields["reason"] == reason
        for agent in network.agents.values()
        for name, fields in agent.runtime.log.lines
        if name == "opening-passed"
    )


def test_new_flows_open_in_the_remaining_domain(network):
    network.publish_evacuation("a")

    clients = network.open_clients(FLOWS)

    assert all(client.is_open for client in clients)
    assert opened(network, EVACUATED) == 0


def test_new_flows_come_back_when_the_evacuation_ends(network):
    network.publish_evacuation("a")
    network.publish_evacuation("a", ends=True)

    network.open_clients(FLOWS)

    assert opened(network, EVACUATED) > 0


def test_of_two_evacuations_that_overlap_each_holds_until_its_own_end(network):
    network.publish_evacuation("a")
    network.publish_evacuation("b")
    network.publish_evacuation("b", ends=True)

    network.open_clients(FLOWS)

    assert opened(network, EVACUATED) == 0
    assert opened(network, REMAINING) == FLOWS


def test_agents_pass_new_flows_on_that_an_uninformed_balancer_sends(network):
    """The balancer is cut off from the store and from every watcher."""
    detach(network, BALANCER)
    network.publish_evacuation("a")

    clients = network.open_clients(FLOWS)

    assert all(client.is_open for client in clients)
    assert opened(network, EVACUATED) == 0
    arrivals = [
        sum(network.agents[address].runtime.counters.evacuated_openings.counts)
        for address in EVACUATED
    ]
    assert sum(arrivals) == openings_passed(network, "evacuated") > 0


def test_balancers_and_agents_avoid_an_agent_that_is_not_informed(network):
    """A frozen agent would take the packet when it resumes."""
    for address in EVACUATED:
        detach(network, address)
    network.publish_evacuation("a")

    network.open_clients(FLOWS)

    assert opened(network, EVACUATED) == 0


def test_a_frozen_agent_follows_the_newest_state_when_it_resumes(network):
    address = EVACUATED[0]
    agent = network.agents[address]
    directory = detach(network, address)
    network.publish_evacuation("a")
    network.publish_evacuation("a", ends=True)
    network.publish_evacuation("a")
    assert not agent.upstream.is_evacuated
    network.directories[address] = directory
    refresh_directories(network)
    assert agent.upstream.is_evacuated

    detach(network, address)
    network.publish_evacuation("a", ends=True)
    network.directories[address] = directory
    refresh_directories(network)
    assert not agent.upstream.is_evacuated


def test_open_flows_are_served_in_the_evacuated_domain(network):
    clients = network.open_clients(FLOWS)
    assert ask_all(network, clients, balancer=BALANCER) == FLOWS
    staying = opened(network, EVACUATED)
    assert staying > 0
    network.publish_evacuation("a")

    assert ask_all(network, clients, balancer=BALANCER, sequence=50) == FLOWS
    # The other balancer knows none of the flows and has to search for them.
    network.first_start = False
    assert ask_all(network, clients, balancer=OTHER_BALANCER, sequence=90) == FLOWS
    assert opened(network, EVACUATED) == staying
    assert not any(client.resets for client in clients)


def test_a_service_whose_hosts_are_all_evacuated_refuses_at_once(network):
    network.publish_evacuation("a")
    network.publish_evacuation("b")

    clients = [network.new_client() for _ in range(FLOWS)]
    for client in clients:
        client.connect(BALANCER)
    network.clock.run(0.01)

    assert [client.resets for client in clients] == [1] * FLOWS
    assert opened(network, network.hosts) == 0
    refused = network.balancers[BALANCER].runtime.counters.refused
    assert refused == {"no-host": FLOWS}


def test_agents_refuse_at_once_for_an_uninformed_balancer_when_no_host_is_left(network):
    detach(network, BALANCER)
    network.publish_evacuation("a")
    network.publish_evacuation("b")

    clients = [network.new_client() for _ in range(FLOWS)]
    for client in clients:
        client.connect(BALANCER)
    network.clock.run(0.01)

    assert [client.resets for client in clients] == [1] * FLOWS
    assert opened(network, network.hosts) == 0
    refused = Counter()
    for agent in network.agents.values():
        assert not agent.openings.pending
        refused.update(agent.runtime.counters.refused)
    assert refused == {"evacuated": FLOWS}


def test_a_flow_does_not_overflow_into_an_evacuated_domain(network):
    network.add_host("10.0.1.8", service=SMALL_SERVICE, failure_domain="b")
    network.publish_routes(services=SPLIT)
    occupy(network, SMALL_SERVICE)
    network.publish_evacuation("a")
    taken = opened(network, EVACUATED)
    clients = clients_of(network, SMALL_SERVICE, 6)

    open_all(network, clients)

    assert all(client.is_open for client in clients)
    assert opened(network, EVACUATED) == taken
    assert opened(network, REMAINING) > 0


def test_an_evacuated_agent_gives_back_a_flow_that_another_service_offers(network):
    """The agents of the short service don't know of the evacuation yet."""
    network.add_host("10.0.1.8", service=SMALL_SERVICE, failure_domain="c")
    network.publish_routes(services=SPLIT)
    occupy(network, SMALL_SERVICE)
    for name in (BALANCER, "10.0.1.8"):
        detach(network, name)
    for failure_domain in "ab":
        network.publish_evacuation(failure_domain)
    clients = clients_of(network, SMALL_SERVICE, 4)

    open_all(network, clients)

    assert all(client.is_open for client in clients)
    assert opened(network, (*EVACUATED, *REMAINING)) == 0


def test_a_flow_given_back_to_an_evacuated_agent_goes_to_another_one(network):
    """Its agent learns of the evacuation while the flow visits the other service."""
    network.add_host("10.0.1.8", service=SMALL_SERVICE, failure_domain="c")
    network.add_host("10.0.1.9", service=SMALL_SERVICE, failure_domain="b")
    network.publish_routes(services=SPLIT)
    network.publish_evacuation("c")
    (client,) = clients_of(network, SMALL_SERVICE, 1)
    frame = OpenFrame(
        balancer=inet_aton(BALANCER), service=service_tag(SMALL_SERVICE),
        packet=pack_packet(client.end, client.service, flags=SYN),
        final=True, has_crossed=True,
    )  # fmt: skip
    network.agents["10.0.1.8"].receive_frame(encode_frame(frame), ("10.0.1.1", 7720))
    network.clock.run(0.01)

    assert client.is_open
    assert opened(network, ["10.0.1.8"]) == 0
    assert opened(network, ["10.0.1.9"]) == 1


def lose_offer(network):
    """Open a flow in domain a whose first answer is lost; return its client."""
    while True:
        client = network.new_client()
        key = flow_key(client)
        placement = network.balancers[BALANCER].placement
        placement.refresh()
        first = placement.candidates.order(service_tag(SERVICE), key)[0]
        address = inet_ntoa(first)
        if address in EVACUATED:
            break
    cut = (address, client.end[0])
    network.cut.add(cut)
    client.connect(BALANCER)
    network.clock.run(0.1)
    network.cut.remove(cut)
    assert key in network.hosts[address].flows
    return client, address


@pytest.mark.parametrize("evacuated", ["a", "ab"])
def test_a_copy_still_goes_to_the_host_that_has_taken_the_flow(network, evacuated):
    client, address = lose_offer(network)
    for failure_domain in evacuated:
        network.publish_evacuation(failure_domain)

    client.send_opening(BALANCER, copy=1)
    network.clock.run(0.05)

    assert client.is_open
    assert client.host_sequence == network.hosts[address].flows[
        flow_key(client)
    ].sequence  # fmt: skip


def test_a_copy_goes_elsewhere_after_the_agent_of_the_first_one_restarted(network):
    client, address = lose_offer(network)
    network.publish_evacuation("a")
    network.start_agent(address)
    network.hosts[address].flows.clear()

    client.send_opening(BALANCER, copy=1)
    network.clock.run(0.05)

    assert client.is_open
    assert opened(network, EVACUATED) == 0


def test_a_flow_that_its_upstream_returns_goes_to_no_host_evacuated_meanwhile(network):
    """No frame arrives at the agent between the evacuation and the returned packet."""
    for address in REMAINING:
        network.hosts[address].returns_openings = True
    for _ in range(FLOWS):
        network.new_client().connect(BALANCER)
        network.clock.run(0.0035)
        network.publish_evacuation("a")
        network.clock.run(0.05)
        network.publish_evacuation("a", ends=True)

    passed = [
        (fields["reason"], fields["target"])
        for address in REMAINING
        for name, fields in network.agents[address].runtime.log.lines
        if name == "opening-passed"
    ]
    assert passed
    assert {target for _, target in passed} <= set(REMAINING)


def test_the_failure_domain_of_the_newest_entry_applies(network):
    """A host moves to another failure domain with its next incarnation."""
    moving = network.hosts[EVACUATED[0]]
    moving.failure_domain = "b"
    network.publish_host(moving, incarnation=2)
    entering = network.hosts[REMAINING[0]]
    entering.failure_domain = "a"
    network.publish_host(entering, incarnation=2)
    network.publish_evacuation("a")

    network.open_clients(FLOWS)

    assert len(moving.flows) > 0
    assert len(entering.flows) == 0


def test_hosts_that_leave_during_a_replacement_stay_left_out(network):
    leaving = network.hosts[EVACUATED[0]]
    network.publish_evacuation("a")
    network.publish_host(leaving, state=HostState.DRAINING)
    network.publish_evacuation("a", ends=True)

    network.open_clients(FLOWS)

    assert len(leaving.flows) == 0
    assert len(network.hosts[EVACUATED[1]].flows) > 0


def test_an_agent_without_an_entry_goes_by_the_domain_of_its_settings(network):
    detach(network, BALANCER)
    address = EVACUATED[0]
    record = network.records.pop(f"host-{address}-1")
    network.revision += 1
    network.publish(
        DirectoryItem(key=record.key, revision=network.revision, content=None)
    )
    network.start_agent(address, failure_domain="a")
    network.publish_evacuation("a")

    clients = network.open_clients(FLOWS)

    assert all(client.is_open for client in clients)
    assert len(network.hosts[address].flows) == 0


def test_a_silent_evacuated_upstream_gets_no_probe(network):
    address = EVACUATED[0]
    agent, host = network.agents[address], network.hosts[address]
    detach(network, BALANCER)
    host.is_silent = True
    network.open_clients(FLOWS)
    network.clock.run(1.0)
    assert agent.upstream.silent_since is not None
    network.publish_evacuation("a")
    host.is_silent = False

    network.open_clients(FLOWS)

    assert not host.flows


def test_an_agent_that_was_frozen_with_a_packet_pending_sends_no_probe(network):
    """The upstream became silent with two packets pending; one timer runs late."""
    address = EVACUATED[0]
    agent, host = network.agents[address], network.hosts[address]
    host.is_silent = True
    for delay in (0.04, 0.02):
        client = network.new_client()
        frame = OpenFrame(
            balancer=inet_aton(BALANCER), service=service_tag(SERVICE),
            packet=pack_packet(client.end, client.service, flags=SYN), final=True,
        )  # fmt: skip
        agent.receive_frame(encode_frame(frame), (BALANCER, 7720))
        network.clock.run(delay)
    assert agent.upstream.silent_since is not None
    assert len(agent.openings.pending) == 1
    network.publish_evacuation("a")
    host.is_silent = False
    network.clock.time += 10.0
    agent.openings.check_offer(flow_key(client))
    network.clock.run(0.1)

    assert not agent.openings.pending
    assert not host.flows


@pytest.mark.parametrize("milliseconds", [0.0, 5000.0])
def test_an_agent_takes_no_flow_before_it_has_read_the_directory(network, milliseconds):
    """Only where the settings limit the time of an evacuation."""
    address, host = next(iter(network.hosts.items()))
    for other in list(network.hosts)[1:]:
        network.down.add(other)
    agent = network.start_agent(address, evacuation_milliseconds=milliseconds)
    agent.runtime.directory = Directory()
    clients = network.open_clients(FLOWS)

    dropped = agent.runtime.counters.dropped["no-directory"]
    if milliseconds:
        assert not host.flows
        assert dropped == agent.runtime.log.names()["opening-early"] > 0
        assert not any(client.resets for client in clients)
    else:
        assert host.flows
        assert dropped == 0


def test_a_dropped_early_packet_s_copy_opens_the_flow_elsewhere(network):
    agent = network.start_agent(EVACUATED[0], evacuation_milliseconds=5000.0)
    agent.runtime.directory = Directory()
    clients = [network.new_client() for _ in range(FLOWS)]
    for client in clients:
        client.connect(BALANCER, copies=2)
    network.clock.run(0.25)

    assert all(client.is_open for client in clients)
    assert not network.hosts[EVACUATED[0]].flows


def test_start_and_end_are_logged_with_the_hosts_left(network):
    """Operators learn from these lines which service has no host left."""
    runtime = network.balancers[BALANCER].runtime
    network.publish_evacuation("a")
    seen_revision = network.revision
    network.publish_evacuation("a")
    network.clock.run(2.0)
    network.publish_evacuation("a", ends=True)

    assert runtime.log.lines == [
        (
            "evacuation-seen",
            {"failure_domain": "a", "revision": seen_revision, "hosts": {SERVICE: 2}},
        ),
        (
            "evacuation-ended",
            {
                "failure_domain": "a",
                "revision": network.revision,
                "seconds": 2.0,
                "hosts": {SERVICE: 4},
            },
        ),
    ]


class CheckingNetwork(Network):
    """Checks each opening packet that an agent gives its host.

    :ivar violations: opening packets of flows that the host had not taken before, given
        by an agent whose directory evacuates the host.
    """

    def __init__(self, **options):
        self.violations = []
        super().__init__(**options)

    def transmit(self, source, data, address):
        if address[1] == 9000 and HEADER.unpack_from(data)[3] & SYN:
            self.check_opening(source, data)
        super().transmit(source, data, address)

    def check_opening(self, source, data):
        view = self.agents[source].runtime.directory.view
        entry = view.hosts_by_address[source]
        flow = self.codec.read_from_client(data).flow
        is_taken = flow in self.hosts[source].flows
        if entry.failure_domain in view.evacuated and not is_taken:
            self.violations.append((source, flow))


SMALL_HOSTS = {"10.0.1.8": "a", "10.0.1.9": "b"}
ADDRESSES = (*EVACUATED, *REMAINING, *SMALL_HOSTS)
BALANCERS = (BALANCER, OTHER_BALANCER)
PROCESSES = (*ADDRESSES, *BALANCERS)
DOMAINS = st.sampled_from("ab")
ACTIONS = st.one_of(
    st.tuples(st.just("evacuate"), DOMAINS, st.booleans()),
    st.tuples(st.just("open"), st.integers(1, 8), st.sampled_from(BALANCERS)),
    st.tuples(st.just("ask"), st.sampled_from(BALANCERS)),
    st.tuples(st.just("fail"), st.sampled_from(ADDRESSES), st.integers(0, 2)),
    st.tuples(st.just("cut"), st.sampled_from(PROCESSES), st.sampled_from(PROCESSES)),
    st.tuples(st.just("heal")),
    st.tuples(st.just("detach"), st.sampled_from(PROCESSES)),
    st.tuples(st.just("attach")),
    st.tuples(st.just("restart"), st.sampled_from(PROCESSES)),
    st.tuples(st.just("move"), st.sampled_from(ADDRESSES), DOMAINS),
    st.tuples(st.just("run"), st.sampled_from((0.0015, 0.003, 0.06, 0.3, 0.8))),
)


class EvacuationPlay:
    """Applies random actions to a fleet with a split route and two domains."""

    def __init__(self):
        self.network = network = CheckingNetwork(hosts=0)
        for address in (*EVACUATED, *REMAINING):
            domain = "a" if address in EVACUATED else "b"
            network.add_host(address, failure_domain=domain)
        for address, domain in SMALL_HOSTS.items():
            network.add_host(address, service=SMALL_SERVICE, failure_domain=domain)
        for host in network.hosts.values():
            host.work_seconds = 0.3
        network.publish_routes(services=SPLIT)
        self.detached = {}
        self.incarnation = 1

    def apply(self, action):
        name, *arguments = action
        getattr(self, name)(*arguments)

    def evacuate(self, domain, ends):
        self.network.publish_evacuation(domain, ends=ends)

    def open(self, count, balancer):
        for _ in range(count):
            self.network.new_client().connect(balancer, copies=3)

    def ask(self, balancer):
        for client in self.network.clients.values():
            if client.is_open and not client.answers:
                client.ask(balancer)

    def fail(self, address, kind):
        host = self.network.hosts[address]
        host.is_silent, host.returns_openings = kind == 1, kind == 2

    def cut(self, source, target):
        self.network.cut.add((source, target))

    def heal(self):
        self.network.cut.clear()

    def detach(self, name):
        if name not in self.detached:
            self.detached[name] = detach(self.network, name)

    def attach(self):
        self.network.directories.update(self.detached)
        self.detached.clear()
        refresh_directories(self.network)

    def restart(self, name):
        self.detached.pop(name, None)
        if name in BALANCERS:
            self.network.start_balancer(name)
        else:
            self.network.start_agent(name)

    def move(self, address, domain):
        self.incarnation += 1
        host = self.network.hosts[address]
        host.failure_domain = domain
        self.network.publish_host(host, incarnation=self.incarnation)

    def run(self, seconds):
        self.network.clock.run(seconds)


@settings(max_examples=120, deadline=None)
@given(st.lists(ACTIONS, min_size=8, max_size=50))
def test_no_agent_that_knows_an_evacuation_gives_its_host_a_new_flow(actions):
    """Guards against a way past the check: a pass, a return, a copy, a probe, a visit.

    Hosts are busy, silent or give packets back; processes restart, lose paths to each
    other, and learn of changes late.
    """
    play = EvacuationPlay()
    for action in actions:
        play.apply(action)
        play.run(0.001)
    play.run(2.0)

    assert play.network.violations == []


def test_the_check_of_the_random_plays_sees_a_violation():
    """Guards against random plays that would pass whatever agents do."""
    play = EvacuationPlay()
    play.evacuate("a", False)
    client = play.network.new_client()
    data = pack_packet(client.end, SERVICE_ENDPOINT, flags=SYN)
    play.network.agents[EVACUATED[0]].deliver(data)

    assert play.network.violations == [
        (EVACUATED[0], pack_endpoint(*client.end) + pack_endpoint(*SERVICE_ENDPOINT))
    ]
