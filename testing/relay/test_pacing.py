"""Hosts that have just started or recovered get a limited number of new flows."""

import pytest
from msgspec.structs import replace

from daisygauge_control import (
    DirectoryItem,
    RoutingRecord,
    ServiceRecord,
)

from .network import SERVICE, Network, ask_all, restart_host

COLD = "10.0.1.1"
PER_SECOND = 2.0 * 1.5 + 1.0


def publish_cold_rate(network, *, rate=2.0):
    """Publish the configuration with the cold rate of the service."""
    network.revision += 1
    current = network.records["config"].content
    record = RoutingRecord(
        version=network.revision,
        routes=current.routes,
        idle_timeout_seconds=15.0,
        services=(
            ServiceRecord(name=SERVICE, slow_start_seconds=2.0, slow_start_rate=rate),
        ),
    )
    network.publish(
        DirectoryItem(key="config", revision=network.revision, content=record)
    )


def publish_entry(network, address, *, incarnation, cold_seconds):
    """Publish the only entry of a host."""
    network.publish_host(network.hosts[address], incarnation=incarnation)
    item = network.records.pop(f"host-{address}-{incarnation}")
    network.revision += 1
    record = replace(item.content, slow_start_seconds=cold_seconds)
    network.publish(replace(item, revision=network.revision, content=record))


def set_cold_rate(network):
    """Give every agent the settings of a deployment with a limit for cold hosts."""
    for agent in network.agents.values():
        agent.runtime.settings = replace(
            agent.runtime.settings, cold_rate_factor=1.5, cold_rate_slack=1.0
        )


def record_openings(network, address):
    """Record the times at which a host gets an opening packet."""
    host, times = network.hosts[address], []
    open_flow = host.open

    def record(*arguments):
        times.append(network.clock.now())
        open_flow(*arguments)

    host.open = record
    return times


def busiest_second(times):
    return max((sum(at <= t <= at + 1.0 for t in times) for at in times), default=0)


def open_steadily(network, count, *, seconds, copies=3, each=None):
    clients = []
    for _ in range(count):
        client = network.new_client()
        client.connect("10.0.0.1", copies=copies)
        clients.append(client)
        if each is not None:
            each()
        network.clock.run(seconds / count)
    network.clock.run(1.0)
    return clients


@pytest.fixture
def network():
    network = Network(hosts=3, balancers=1)
    publish_cold_rate(network)
    set_cold_rate(network)
    network.clock.run(2.0)
    return network


def test_a_cold_host_gets_no_more_openings_than_its_rate(network):
    times = record_openings(network, COLD)
    publish_entry(network, COLD, incarnation=2, cold_seconds=3.0)

    clients = open_steadily(network, 60, seconds=2.0)

    assert all(client.is_open for client in clients)
    assert 0 < busiest_second(times) <= PER_SECOND
    passed = network.agents[COLD].runtime.counters.passed_by_reason
    assert passed["cold"] > 0


def test_a_host_gets_its_share_after_its_cold_time(network):
    publish_entry(network, COLD, incarnation=2, cold_seconds=0.5)
    network.clock.run(0.6)
    times = record_openings(network, COLD)

    open_steadily(network, 60, seconds=2.0)

    assert busiest_second(times) > PER_SECOND


def test_a_rate_of_zero_means_no_limit():
    """The current deployments give a cold time and a rate of 0."""
    network = Network(hosts=1, balancers=1)
    publish_cold_rate(network, rate=0.0)
    set_cold_rate(network)
    publish_entry(network, COLD, incarnation=2, cold_seconds=3.0)

    clients = network.open_clients(30)

    assert all(client.is_open for client in clients)


def test_a_configuration_without_services_limits_nothing():
    """Deployments without these fields are served as before."""
    network = Network(hosts=1, balancers=1)
    set_cold_rate(network)
    publish_entry(network, COLD, incarnation=2, cold_seconds=3.0)

    assert all(client.is_open for client in network.open_clients(30))


def test_a_restarted_agent_gives_its_cold_host_no_second_share(network):
    """The earlier agent may have used up the limit just before its end."""
    times = record_openings(network, COLD)
    publish_entry(network, COLD, incarnation=2, cold_seconds=5.0)
    open_steadily(network, 30, seconds=0.5)
    network.start_agent(COLD)
    set_cold_rate(network)

    open_steadily(network, 60, seconds=2.0)

    assert busiest_second(times) <= PER_SECOND


def test_copies_and_probes_of_openings_count(network):
    """The host's answers to openings are lost, so every copy reaches it again."""
    times = record_openings(network, COLD)
    publish_entry(network, COLD, incarnation=2, cold_seconds=9.0)
    network.cut.update((COLD, f"100.64.0.{n}") for n in range(1, 80))
    toggles = iter(range(10_000))

    def fall_silent_now_and_then():
        network.hosts[COLD].is_silent = next(toggles) % 7 == 3

    clients = open_steadily(network, 70, seconds=5.0, each=fall_silent_now_and_then)

    assert len(times) > 5
    assert busiest_second(times) <= PER_SECOND
    assert [client.resets for client in clients] == [0] * len(clients)


def test_a_copy_beyond_the_limit_resets_no_flow_of_the_host():
    """All hosts are cold; each flow's second copy finds the limit reached."""
    network = Network(hosts=1, balancers=1)
    publish_cold_rate(network)
    set_cold_rate(network)
    network.clock.run(2.0)
    publish_entry(network, COLD, incarnation=2, cold_seconds=9.0)
    network.cut.add((COLD, "10.0.0.1"))

    clients = [network.new_client() for _ in range(4)]
    network.cut.update((COLD, client.end[0]) for client in clients)
    for client in clients:
        client.connect("10.0.0.1", copies=3)
    network.clock.run(1.5)

    assert len(network.hosts[COLD].flows) == 4
    assert [client.resets for client in clients] == [0] * 4


def test_a_host_that_returns_from_a_crash_is_cold_before_its_entry_arrives(network):
    publish_entry(network, COLD, incarnation=1, cold_seconds=0.0)
    clients = network.open_clients(30)
    ask_all(network, clients, balancer="10.0.0.1")
    mine = [c for c in clients if network.holder_of(c) is network.hosts[COLD]]
    network.clock.run(1.0)
    network.hosts[COLD].flows.clear()
    times = record_openings(network, COLD)

    mine[0].ask("10.0.0.1", sequence=100)
    network.clock.run(0.01)
    open_steadily(network, 40, seconds=1.0, copies=1)

    assert len(mine) > 1
    assert 0 < busiest_second(times) <= PER_SECOND


def test_later_returns_of_flows_of_the_earlier_life_do_not_keep_a_host_cold(network):
    clients = network.open_clients(30)
    ask_all(network, clients, balancer="10.0.0.1")
    mine = [c for c in clients if network.holder_of(c) is network.hosts[COLD]]
    restart_host(network, COLD)
    agent = network.agents[COLD]

    for client in mine:
        client.ask("10.0.0.1", sequence=100)
        network.clock.run(0.5)

    assert len(mine) > 6
    assert not agent.cold_host.is_cold(now=network.clock.now())


def test_an_agent_without_a_configuration_gives_only_the_slack():
    network = Network(hosts=1, balancers=1)
    set_cold_rate(network)
    agent = network.agents[COLD]
    agent.runtime.directory = type(agent.runtime.directory)()
    network.clock.run(1.5)
    times = record_openings(network, COLD)

    open_steadily(network, 20, seconds=1.0, copies=1)

    assert busiest_second(times) == 1


def test_a_late_answer_of_a_host_is_no_restart(network):
    agent = network.agents[COLD]
    agent.refresh()
    agent.upstream.record_silence(now=network.clock.now())
    network.clock.run(0.05)

    agent.upstream.record_received(now=network.clock.now())

    agent.refresh()
    assert not agent.cold_host.is_cold(now=network.clock.now())


def test_an_end_of_an_evacuation_counts_as_a_start(network):
    """The view lists evacuated domains; the host's entry is older than the end."""
    agent = network.agents[COLD]
    agent.refresh()
    period = agent.cold_host
    period.was_evacuated = True

    agent.refresh()

    now = network.clock.now()
    assert period.is_cold(now=now)
    assert not period.is_cold(now=now + 2.0)
    publish_entry(network, COLD, incarnation=1, cold_seconds=0.0)
    agent.refresh()
    assert not period.is_cold(now=now)


def fill_limit(network):
    """Send the cold host as many openings as it may get in a second."""
    publish_entry(network, COLD, incarnation=2, cold_seconds=9.0)
    return network.open_clients(int(PER_SECOND))


@pytest.fixture
def cold_host():
    network = Network(hosts=1, balancers=1)
    publish_cold_rate(network)
    set_cold_rate(network)
    network.clock.run(2.0)
    return network


def test_a_duplicate_beyond_the_limit_resets_no_flow_of_the_host(cold_host):
    """The network may deliver a first opening packet twice."""
    client, *_ = fill_limit(cold_host)
    opened = client.host_sequence
    client.host_sequence = None

    client.send_opening("10.0.0.1")
    cold_host.clock.run(0.1)

    assert opened is not None
    assert client.resets == 0


def test_a_probe_beyond_the_limit_is_not_sent(network):
    """A silent host is probed with openings that are passed on to others as well."""
    publish_entry(network, COLD, incarnation=2, cold_seconds=9.0)
    agent = network.agents[COLD]
    for _ in range(int(PER_SECOND)):
        agent.openings.limits.record_taken(now=network.clock.now())
    agent.upstream.record_silence(now=network.clock.now() - 0.6)
    times = record_openings(network, COLD)

    clients = network.open_clients(20)

    assert all(client.is_open for client in clients)
    assert times == []


# The pace.


def learn_settled_times(network, agent, *, seconds=0.03):
    """Let an agent see enough responses of its settled host."""
    for n in range(30):
        now = network.clock.now() + n * 0.01
        agent.paced_host.record_response(now - seconds, now)
    network.clock.run(0.5)


def is_limited(network, address=COLD):
    agent = network.agents[address]
    agent.refresh()
    return agent.paced_host.pace.rate is not None


@pytest.fixture
def settled(network):
    agent = network.agents[COLD]
    agent.refresh()
    learn_settled_times(network, agent)
    return network


def test_a_new_incarnation_limits_its_host(settled):
    assert not is_limited(settled)

    publish_entry(settled, COLD, incarnation=2, cold_seconds=2.0)

    assert is_limited(settled)
    assert settled.agents[COLD].runtime.log.lines[-1][1]["reason"] == "started"


def test_the_first_entry_that_an_agent_sees_limits_nothing(network):
    """An agent that starts beside a host which has run for long doesn't limit it."""
    agent = network.start_agent(COLD)
    learn_settled_times(network, agent)

    assert not is_limited(network)


def test_a_host_that_is_heard_again_is_limited(settled):
    upstream = settled.agents[COLD].upstream
    upstream.record_silence(now=settled.clock.now())
    settled.clock.run(0.5)

    upstream.record_received(now=settled.clock.now())

    assert is_limited(settled)


def test_the_late_entry_of_a_known_start_does_not_limit_its_host_again(settled):
    upstream = settled.agents[COLD].upstream
    upstream.record_silence(now=settled.clock.now())
    settled.clock.run(0.5)
    upstream.record_received(now=settled.clock.now())
    assert is_limited(settled)
    settled.agents[COLD].paced_host.pace.rate = None

    publish_entry(settled, COLD, incarnation=2, cold_seconds=2.0)

    assert not is_limited(settled)


def test_a_limited_host_counts_as_busier_while_it_has_work(settled):
    publish_entry(settled, COLD, incarnation=2, cold_seconds=2.0)
    agent = settled.agents[COLD]
    agent.refresh()
    limits, now = agent.openings.limits, settled.clock.now()
    limits.record_taken(now=now)

    assert limits.weigh(0, now=now + 0.01) == 0
    assert limits.weigh(1, now=now + 0.01) == 2
    assert agent.runtime.counters.paced == 1


def test_no_host_counts_as_busier_when_all_have_started(settled):
    """After a loss of everything there is nowhere else for flows to go."""
    for address in settled.hosts:
        publish_entry(settled, address, incarnation=2, cold_seconds=2.0)
    agent = settled.agents[COLD]
    agent.refresh()
    now = settled.clock.now()
    agent.openings.limits.record_taken(now=now)

    assert agent.openings.limits.weigh(1, now=now + 0.01) == 1


def test_a_request_that_the_host_ends_without_an_answer_is_a_failure(settled):
    agent = settled.agents[COLD]
    before = agent.paced_host.pace.failures

    agent.paced_host.record_response(None, settled.clock.now())

    assert agent.paced_host.pace.failures == before + 1


def test_requests_without_an_answer_are_failures(settled):
    agent = settled.agents[COLD]
    agent.scheduler.running[b"flow"] = settled.clock.now()
    settled.clock.run(3.0)

    agent.refresh()
    agent.refresh()

    assert agent.paced_host.pace.failures == 1


def test_time_behind_an_earlier_request_is_no_service_time(settled):
    """One request more than the slots is sent, and waits at the host."""
    agent = settled.agents[COLD]
    pace, now = agent.paced_host.pace, settled.clock.now()
    before = pace.settled_seconds
    for flow in (b"a", b"b", b"c"):
        agent.scheduler.running[flow] = now
    agent.paced_host.last_response_at = now + 0.03

    agent.paced_host.record_response(now, now + 0.06)

    assert pace.settled_seconds == pytest.approx(before)


def test_hosts_come_and_go_and_every_flow_is_opened():
    """Guards against limits that leave a flow without any host."""
    network = Network(hosts=4, balancers=1, slots=1)
    publish_cold_rate(network, rate=0.0)
    clients = network.open_clients(40)
    ask_all(network, clients, balancer="10.0.0.1")
    for n in range(8):
        host = network.hosts[COLD]
        host.is_silent = True
        network.clock.run(0.3)
        open_steadily(network, 5, seconds=0.2)
        host.is_silent = False
        host.flows.clear()
        publish_entry(network, COLD, incarnation=2 + n, cold_seconds=2.0)
        opened = open_steadily(network, 10, seconds=0.3)

        assert all(client.is_open for client in opened)


def test_flows_returned_after_the_entry_of_a_start_show_no_second_start(network):
    """The next entry would otherwise count as that of a start known already."""
    clients = network.open_clients(30)
    ask_all(network, clients, balancer="10.0.0.1")
    mine = [c for c in clients if network.holder_of(c) is network.hosts[COLD]]
    agent = network.agents[COLD]
    network.hosts[COLD].flows.clear()
    publish_entry(network, COLD, incarnation=2, cold_seconds=0.0)
    agent.refresh()

    for client in mine:
        client.ask("10.0.0.1", sequence=100)
    network.clock.run(0.1)
    agent.refresh()

    assert len(mine) > 6
    assert not agent.cold_host.is_cold(now=network.clock.now())
    assert not agent.paced_host.is_return_unconfirmed
