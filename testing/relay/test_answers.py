"""An agent whose upstream fails requests passes new flows on."""

import pytest

from daisygauge_platform._packets import ACK, FIN, RST

from .network import ANSWER, Network, ask_all, pack_endpoint, pack_packet

BALANCER = "10.0.0.1"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n\r\n"
BAD = "10.0.1.1"


@pytest.fixture
def network():
    return Network(hosts=4, slots=2)


def fail(network, answer, *, flags=ACK, address=BAD):
    host = network.hosts[address]
    host.answer, host.answer_flags = answer, flags
    return host


def outlier(network, address=BAD):
    return network.agents[address].answers.outlier


def is_ejected(network, address=BAD):
    return outlier(network, address).is_ejected(now=network.clock.now())


def events(network, address=BAD):
    return network.agents[address].runtime.log.names()


def open_at(network, address, count):
    """Open flows one after the other until some are held by one host."""
    clients = []
    for _ in range(200):
        (client,) = network.open_clients(1)
        if network.holder_of(client) is None:
            client.ask(BALANCER)
            network.clock.run(0.1)
        if network.holder_of(client) is network.hosts[address]:
            clients.append(client)
        if len(clients) == count:
            return clients
    pytest.fail("the host holds too few flows")


def open_at_without_requests(network, address):
    """Open flows until one has been answered by a host; return it."""
    for _ in range(200):
        clients = network.open_clients(1)
        key = pack_endpoint(*clients[0].end) + pack_endpoint(*clients[0].service)
        if key in network.hosts[address].flows:
            return clients
    pytest.fail("no flow reached the host")


def play_flows(network, count):
    """Open flows with one request each; return how many each host got."""
    taken = dict.fromkeys(network.hosts, 0)
    for _ in range(count):
        (client,) = network.open_clients(1)
        client.ask(BALANCER)
        network.clock.run(0.05)
        taken[network.holder_of(client).address] += 1
    return taken


@pytest.mark.parametrize(
    ("answer", "flags", "reason"),
    [(ERROR, ACK, "status"), (b"", RST | ACK, "ended"), (None, ACK, "overdue")],
)
def test_a_failing_host_gets_few_new_flows(network, answer, flags, reason):
    """Requests of such flows would be lost; its host entry says that it is ready."""
    fail(network, answer, flags=flags)

    before = play_flows(network, 60)
    after = play_flows(network, 60)

    assert is_ejected(network)
    assert events(network)["outlier-ejected"] >= 1
    assert network.agents[BAD].runtime.counters.failed[reason] >= 2
    assert 0 < before[BAD] < 20
    assert after[BAD] <= 12
    assert not any(client.resets for client in network.clients.values()) or flags & RST


def test_healthy_hosts_share_the_flows_evenly_and_are_not_ejected(network):
    taken = play_flows(network, 120)

    assert min(taken.values()) > 15
    assert not any(is_ejected(network, address) for address in network.hosts)


def test_open_flows_stay_at_an_ejected_host(network):
    """A reset would break them."""
    clients = open_at(network, BAD, 3)
    fail(network, ERROR)
    for number, client in enumerate(clients):
        ask_all(network, [client], balancer=BALANCER, sequence=100 + number)
    assert is_ejected(network)

    answered = ask_all(network, clients, balancer=BALANCER, sequence=300)

    assert answered == 3
    assert not any(client.resets for client in clients)


def test_a_refusal_for_overload_is_no_failure(network):
    fail(network, REFUSAL)

    play_flows(network, 80)

    assert not is_ejected(network)
    assert not network.agents[BAD].runtime.counters.failed


def test_one_stray_failure_ejects_no_host(network):
    (client, *others) = open_at(network, BAD, 3)
    host = fail(network, ERROR)
    ask_all(network, [client], balancer=BALANCER, sequence=100)
    host.answer = b"HTTP/1.1 200 OK\r\n\r\n"
    ask_all(network, others, balancer=BALANCER, sequence=100)

    assert network.agents[BAD].runtime.counters.failed["status"] == 1
    assert not is_ejected(network)


def test_a_pause_of_the_agent_is_no_failure_of_its_host(network):
    """Answers that came during the pause are read only after the first opening."""
    fail(network, None)
    clients = open_at(network, BAD, 2)
    answers = network.agents[BAD].answers
    answers.tick(now=network.clock.now())
    for client in clients:
        client.ask(BALANCER, sequence=100)
    network.clock.run(0.01)
    network.clock.time += 3.0

    answers.check(now=network.clock.now())
    answers.tick(now=network.clock.now())
    answers.check(now=network.clock.now())

    assert not network.agents[BAD].runtime.counters.failed
    assert not is_ejected(network)


def finish_early(network, client, *, answer_bytes):
    """Let the host's FIN overtake the answer that precedes it."""
    end = client.host_sequence + 1 + answer_bytes
    fin = pack_packet(client.service, client.end, flags=FIN | ACK, sequence=end)
    network.from_host(BAD, fin)
    network.clock.run(0.005)


@pytest.mark.parametrize(("answer", "failures"), [(ANSWER, {}), (ERROR, {"status": 1})])
def test_a_fin_that_overtakes_its_answer_is_no_failure(network, answer, failures):
    """A host sends both packets at once; they may arrive in either order."""
    network.hosts[BAD].answer = answer
    network.hosts[BAD].work_seconds = 0.02
    (client,) = open_at_without_requests(network, BAD)
    client.ask(BALANCER)
    network.clock.run(0.01)

    finish_early(network, client, answer_bytes=len(answer))
    network.clock.run(0.1)

    assert client.answers == 1
    assert dict(network.agents[BAD].runtime.counters.failed) == failures


def test_a_fin_in_place_of_an_answer_is_a_failure(network):
    fail(network, None)
    (client,) = open_at_without_requests(network, BAD)
    client.ask(BALANCER)
    network.clock.run(0.01)

    finish_early(network, client, answer_bytes=0)

    assert network.agents[BAD].runtime.counters.failed["ended"] == 1


def test_an_idle_flow_that_the_host_ends_is_no_failure(network):
    clients = open_at(network, BAD, 3)
    for client in clients:
        end = pack_packet(client.service, client.end, flags=RST | ACK, sequence=5)
        network.from_host(BAD, end)
    network.clock.run(0.05)

    assert not network.agents[BAD].runtime.counters.failed


def test_a_request_that_its_client_gave_up_is_no_failure(network):
    host = fail(network, None)
    clients = open_at(network, BAD, 2)
    for client in clients:
        client.ask(BALANCER, sequence=100)
        network.clock.run(0.01)
        reset = pack_packet(client.end, client.service, flags=RST, sequence=200)
        network.to_balancer(BALANCER, reset)
        network.clock.run(0.01)
        end = pack_packet(client.service, client.end, flags=RST | ACK, sequence=5)
        network.from_host(host.address, end)
    host.answer = b"HTTP/1.1 200 OK\r\n\r\n"
    network.clock.run(1.5)
    play_flows(network, 20)

    assert not network.agents[BAD].runtime.counters.failed


def test_slow_requests_that_are_answered_eject_no_host_for_long(network):
    """Their failure is taken back, and the limit is extended."""
    host = network.hosts[BAD]
    agent = network.agents[BAD]
    clients = open_at(network, BAD, 2)
    ask_all(network, clients, balancer=BALANCER, sequence=100)
    host.work_seconds = 0.9
    for client in clients:
        client.ask(BALANCER, sequence=200)
    network.clock.run(0.02)
    agent.answers.last_answer_at = network.clock.now()
    network.clock.run(0.7)
    agent.answers.find_overdue(now=network.clock.now())
    assert agent.runtime.counters.failed["overdue"] == 2

    network.clock.run(0.5)
    play_flows(network, 10)

    assert not is_ejected(network)
    assert agent.answers.find_limit() > 0.9


def test_a_restarted_agent_knows_no_failures(network):
    fail(network, ERROR)
    play_flows(network, 40)
    assert is_ejected(network)
    network.first_start = False

    network.start_agent(BAD)

    assert not is_ejected(network)


def test_a_host_returns_when_its_responses_are_good(network):
    host = fail(network, ERROR)
    play_flows(network, 40)
    assert is_ejected(network)

    host.answer = b"HTTP/1.1 200 OK\r\n\r\n"
    play_flows(network, 160)

    assert events(network)["outlier-returned"] == 1
    assert play_flows(network, 100)[BAD] > 10


@pytest.mark.parametrize("hosts", [1, 2, 4, 6])
def test_no_flow_is_refused_when_every_host_fails(hosts):
    network = Network(hosts=hosts, slots=1)
    for address in network.hosts:
        fail(network, ERROR, address=address)

    taken = play_flows(network, 120)

    assert sum(taken.values()) == 120
    assert min(taken.values()) > 0
    assert not any(client.resets for client in network.clients.values())


def test_the_gauge_shows_an_ejected_upstream(network):
    """Operators would not see why a host gets few flows."""
    fail(network, ERROR)
    agent = network.agents[BAD]
    gauges = {gauge.name: gauge for gauge in agent.gauges()}
    assert gauges["upstream_ejected"].read() == 0.0

    play_flows(network, 40)

    assert gauges["upstream_ejected"].read() == 1.0
