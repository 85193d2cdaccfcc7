import asyncio
import gc
import random

import pytest
import uvloop

from daisygauge_control import (
    Directory,
    DirectoryFollower,
    DirectoryItem,
    DirectoryServer,
    DirectoryUpdate,
    HistoryLostError,
    HostRecord,
    HostState,
    PeerReader,
    PlatformUnavailableError,
    RoutingRecord,
    Signal,
    SourceLost,
    SourceRegained,
)
from daisygauge_control._directory_follower import PLATFORM
from daisygauge_control._directory_messages import (
    ChangesReply,
    MalformedMessageError,
    PackedReply,
    decode_reply,
    encode_message,
    pack_items,
)
from daisygauge_control._directory_seats import choose_seats, order_seats

PEER_PORT = 17_911


def host_item(number, revision):
    address = f"127.60.0.{number}"
    record = HostRecord(
        id=f"h{number}", service="desk", address=address, port=80,
        failure_domain="a", state=HostState.READY, slots=2,
    )  # fmt: skip
    return DirectoryItem(key=record.id, revision=revision, content=record)


def fail(error):
    raise error


class FakeReader:
    """Answers as the test says; an exception is raised."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = 0
        self.asked = []

    async def read_all(self):
        return await self.answer("all")

    async def read_hosts(self):
        return await self.answer("hosts")

    async def watch(self, *, after, wait_seconds):
        return await self.answer(after)

    async def answer(self, asked):
        self.calls += 1
        self.asked.append(asked)
        answer = (
            self.answers.pop(0) if self.answers else DirectoryUpdate(as_of=1, items=())
        )
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def close(self):
        pass


def unavailable():
    return PlatformUnavailableError(address="store", reason="down")


def make_follower(reader, *, own="127.60.0.200", peers=(), narrow=False):
    events = []
    times = [0.0]
    follower = DirectoryFollower(
        directory=Directory(), reader=reader, own_address=own, peer_port=PEER_PORT,
        first_peers=peers, changed=Signal(), clock=lambda: times[0],
        observe=events.append, rng=random.Random(1), has_narrow_link=narrow,
    )  # fmt: skip
    return follower, events, times


def routing_item(revision):
    record = RoutingRecord(version=1, routes=(), idle_timeout_seconds=15.0)
    return DirectoryItem(key="config", revision=revision, content=record)


def longest_pause(follower, times, *, failures):
    pauses = []
    for _ in range(failures):
        follower._report_failure(PLATFORM, "down")
        pauses.append(follower.health[PLATFORM].retry_at - times[0])
    return max(pauses)


def test_a_process_without_a_configuration_asks_again_soon():
    follower, _, times = make_follower(FakeReader())

    assert longest_pause(follower, times, failures=20) <= 0.4


def test_a_process_with_a_configuration_spares_a_store_that_is_away():
    follower, _, times = make_follower(FakeReader())
    follower.directory.replace([routing_item(1)], as_of=1, now=0.0)

    assert 0.6 <= longest_pause(follower, times, failures=20) <= 1.2


async def test_a_process_without_a_configuration_does_not_wait_for_news_of_peers():
    follower, _, _ = make_follower(FakeReader(unavailable()), peers=["127.60.0.9"])
    waits = []

    class Peer:
        async def fetch(self, *, after, wait_seconds, answer_seconds=0.5):
            waits.append((wait_seconds, answer_seconds))
            raise unavailable()

    follower.peers["127.60.0.9"] = Peer()
    await follower.step()
    await follower.step()

    assert waits == [(0.0, 0.2)]


class FakePeer:
    """A seat that answers as the test says."""

    def __init__(self, reply):
        self.reply = reply
        self.waits = []

    async def fetch(self, *, after, wait_seconds, answer_seconds=0.5):
        self.waits.append(wait_seconds)
        return self.reply


def narrow_follower(*answers, seat_reply=None):
    """A follower that has read three hosts over a narrow link."""
    hosts = tuple(host_item(n, n) for n in range(1, 4))
    reader = FakeReader(DirectoryUpdate(as_of=9, items=hosts), *answers)
    follower, events, times = make_follower(reader, narrow=True)
    reply = seat_reply or ChangesReply(
        as_of=9, age_seconds=0.1, is_complete=True, items=(*hosts, routing_item(8))
    )
    for number in range(1, 4):
        follower.peers[f"127.60.0.{number}"] = FakePeer(reply)
    return follower, reader, times


async def test_over_a_narrow_link_hosts_come_from_the_platform_and_routes_from_a_seat():
    follower, reader, _ = narrow_follower()

    await follower.step()
    assert reader.asked == ["hosts"]
    assert not follower.directory.view.is_complete
    await follower.step()

    assert follower.directory.view.is_complete
    assert follower.directory.as_of == 9
    assert follower.directory.first_read_at is not None
    assert reader.asked == ["hosts"]


async def test_over_a_narrow_link_the_platform_tells_routes_when_no_seat_does():
    nothing = ChangesReply(as_of=0, age_seconds=0.0, is_complete=True, items=())
    everything = DirectoryUpdate(as_of=9, items=(routing_item(8),))
    follower, reader, times = narrow_follower(everything, seat_reply=nothing)
    for _ in range(12):
        follower.clock = lambda at=times[0]: at
        await follower.step()
        times[0] += 0.1

    assert reader.asked[:2] == ["hosts", "all"]
    assert follower.directory.view.is_complete
    # The platform was spared, not away: nothing can have lapsed.
    assert follower.directory.removals_may_lapse_until == float("-inf")


async def test_a_process_that_waits_for_the_first_configuration_waits_for_news():
    hosts = tuple(host_item(n, n) for n in range(1, 9))
    follower, _, _ = make_follower(FakeReader(DirectoryUpdate(as_of=9, items=hosts)))
    await follower.step()
    seats = choose_seats(follower.directory.view.hosts_by_address)
    reply = ChangesReply(as_of=9, age_seconds=0.1, is_complete=False, items=())
    peers = {seat: FakePeer(reply) for seat in seats}
    follower.peers.update(peers)

    await follower.step()

    assert [wait for peer in peers.values() for wait in peer.waits] == [1.0]


async def test_a_follower_reads_everything_first_and_watches_then():
    reader = FakeReader(DirectoryUpdate(as_of=7, items=()))
    follower, _, _ = make_follower(reader)

    await follower.step()
    await follower.step()

    assert reader.asked == ["all", 7]


async def test_everything_is_read_again_when_history_is_lost():
    reader = FakeReader(DirectoryUpdate(as_of=7, items=()), HistoryLostError())
    follower, _, _ = make_follower(reader)

    for _ in range(3):
        await follower.step()

    assert reader.asked == ["all", 7, "all"]


async def test_a_lost_source_is_reported_once_and_its_return_too():
    reader = FakeReader(unavailable(), unavailable())
    follower, events, times = make_follower(reader)

    for _ in range(3):
        await follower.step()
        times[0] += 10.0

    kinds = [type(event) for event in events]
    assert kinds.count(SourceLost) == 1
    assert kinds.count(SourceRegained) == 1


async def test_a_failing_source_is_left_alone_for_a_growing_time():
    reader = FakeReader(*[unavailable() for _ in range(20)])
    follower, _, _ = make_follower(reader)
    follower.directory.replace([routing_item(1)], as_of=1, now=0.0)
    await follower.step()
    pauses = []
    for _ in range(5):
        health = follower.health[PLATFORM]
        pauses.append(health.retry_at)
        follower.clock = lambda at=health.retry_at: at
        await follower.step()

    steps = [
        later - earlier for earlier, later in zip(pauses, pauses[1:], strict=False)
    ]
    assert steps[0] < steps[-1] <= 1.2


async def test_another_source_is_asked_after_an_unexpected_error():
    reader = FakeReader(KeyError("items"))
    follower, events, _ = make_follower(reader, peers=("127.60.0.9",))

    with pytest.raises(KeyError):
        await follower.step()

    assert follower.choose_source(now=follower.clock()) == "127.60.0.9"
    assert [type(event) for event in events] == [SourceLost]


async def test_seats_watch_the_platform_and_others_watch_a_seat():
    items = tuple(host_item(n, n) for n in range(1, 9))
    follower, _, _ = make_follower(FakeReader())
    follower.directory.replace(items, as_of=9, now=0.0)
    seats = choose_seats(follower.directory.view.hosts_by_address)

    assert follower.list_sources()[0] == order_seats(seats, follower="127.60.0.200")[0]
    follower.own_address = seats[0]
    assert follower.list_sources()[0] == PLATFORM


async def test_while_no_host_is_known_a_first_peer_tells_news_to_the_others():
    follower, *_ = make_follower(FakeReader(), peers=("127.60.0.8", "127.60.0.9"))
    assert follower.choose_source(now=0.0) == PLATFORM

    await follower.step()

    assert follower.choose_source(now=0.0) in ("127.60.0.8", "127.60.0.9")
    assert PLATFORM in follower.list_sources()


async def test_while_no_host_is_known_a_first_peer_itself_watches_the_platform():
    follower, *_ = make_follower(FakeReader(), peers=("127.60.0.200", "127.60.0.9"))
    await follower.step()

    assert follower.choose_source(now=0.0) == PLATFORM


async def test_the_platform_is_asked_when_a_seat_fails():
    follower, _, _ = make_follower(FakeReader())
    follower.directory.replace([host_item(1, 1), host_item(2, 2)], as_of=9, now=0.0)
    first = follower.list_sources()[0]
    follower._report_failure(first, "dark")

    assert follower.choose_source(now=0.0) == PLATFORM


def test_the_number_of_seats_grows_slower_than_the_fleet():
    counts = [len(choose_seats(map(str, range(n)))) for n in (2, 10, 100, 6_500)]

    assert counts == [2, 3, 5, 271]


def test_few_seats_change_when_a_host_leaves():
    agents = [f"10.0.0.{n}" for n in range(40)]
    before = set(choose_seats(agents))
    leaver = sorted(before)[0]
    after = set(choose_seats(agent for agent in agents if agent != leaver))

    assert len(before & after) == len(before) - 1


@pytest.fixture
async def served():
    directory, changed = Directory(), Signal()
    times = [0.0]
    server = DirectoryServer(
        directory=directory, changed=changed, clock=lambda: times[0], report=fail
    )
    await server.start(host="127.60.0.1", port=PEER_PORT)
    yield directory, changed, times
    server.close()


async def test_a_peer_tells_everything_and_then_changes(served):
    directory, changed, times = served
    directory.replace([host_item(1, 5)], as_of=6, now=0.0)
    times[0] = 0.5
    reader = PeerReader(host="127.60.0.1", port=PEER_PORT)

    whole = await reader.fetch(after=0, wait_seconds=0.1)
    asking = asyncio.create_task(reader.fetch(after=6, wait_seconds=5.0))
    await asyncio.sleep(0.05)
    directory.apply([host_item(2, 8)], as_of=8, now=0.5)
    changed.notify()
    change = await asking
    reader.close()

    assert (whole.is_complete, whole.as_of, whole.age_seconds) == (True, 6, 0.5)
    assert [item.key for item in change.items] == ["h2"]
    assert not change.is_complete


async def test_a_peer_that_does_not_know_old_removals_tells_everything(served):
    directory, _, _ = served
    directory.replace([host_item(1, 50)], as_of=60, now=0.0)
    reader = PeerReader(host="127.60.0.1", port=PEER_PORT)

    reply = await reader.fetch(after=20, wait_seconds=0.1)
    reader.close()

    assert reply.is_complete


async def test_a_peer_with_old_knowledge_is_used_but_not_relied_on(served):
    directory, _, times = served
    directory.replace([host_item(1, 5)], as_of=6, now=0.0)
    times[0] = 30.0
    reader = FakeReader(unavailable())
    follower, _, _ = make_follower(reader, peers=["127.60.0.1"])

    await follower.step()
    await follower.step()

    assert follower.directory.as_of == 6
    assert follower.directory.confirmed_at <= -20.0
    assert "127.60.0.1" in follower.health


async def test_a_peer_that_is_no_peer_is_a_source_that_fails():
    async def talk_nonsense(reader, writer):
        writer.write(b"\xff\xff\xff\xff garbage")
        await writer.drain()

    server = await asyncio.start_server(talk_nonsense, "127.60.0.9", PEER_PORT)
    reader = PeerReader(host="127.60.0.9", port=PEER_PORT)

    with pytest.raises(PlatformUnavailableError):
        await reader.fetch(after=0, wait_seconds=0.1)
    server.close()


async def test_a_silent_peer_is_left_in_time():
    async def say_nothing(reader, writer):
        await asyncio.sleep(30)

    server = await asyncio.start_server(say_nothing, "127.60.0.9", PEER_PORT)
    reader = PeerReader(host="127.60.0.9", port=PEER_PORT)

    with pytest.raises(PlatformUnavailableError):
        await reader.fetch(after=0, wait_seconds=0.1)
    server.close()


def test_a_connection_that_was_reset_meanwhile_is_opened_anew():
    """Played on the loop of the product, which refuses to write to a closed one."""
    uvloop.run(ask_twice_with_a_reset_between())


async def ask_twice_with_a_reset_between():
    directory, changed = Directory(), Signal()
    directory.replace([host_item(1, 5)], as_of=6, now=0.0)
    server = DirectoryServer(
        directory=directory, changed=changed, clock=lambda: 0.0, report=fail
    )
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        await server.serve(reader, writer)

    listening = await asyncio.start_server(serve, "127.60.0.7", PEER_PORT)
    reader = PeerReader(host="127.60.0.7", port=PEER_PORT)
    await reader.fetch(after=0, wait_seconds=0.1)
    writers[0].transport.abort()
    await asyncio.sleep(0.1)

    reply = await reader.fetch(after=0, wait_seconds=0.1)

    reader.close()
    listening.close()
    assert reply.as_of == 6


def test_a_client_that_left_while_its_answer_waited_harms_nobody():
    uvloop.run(leave_while_an_answer_waits())


async def leave_while_an_answer_waits():
    failures = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: failures.append(context)
    )
    directory, changed = Directory(), Signal()
    directory.replace([host_item(1, 5)], as_of=6, now=0.0)
    server = DirectoryServer(
        directory=directory, changed=changed, clock=lambda: 0.0, report=fail
    )
    await server.start(host="127.60.0.8", port=PEER_PORT)
    reader = PeerReader(host="127.60.0.8", port=PEER_PORT)
    asking = asyncio.create_task(reader.fetch(after=6, wait_seconds=3.0))
    await asyncio.sleep(0.1)
    asking.cancel()
    reader.close()
    await asyncio.sleep(0.1)
    changed.notify()
    await asyncio.sleep(0.1)
    gc.collect()

    server.close()
    assert failures == []


def test_a_reply_survives_the_way_and_is_small():
    items = tuple(host_item(n % 250, n) for n in range(500))
    packed = PackedReply(
        as_of=500, age_seconds=0.5, is_complete=True, items=pack_items(items)
    )
    data = encode_message(packed)

    reply = decode_reply(data)

    assert reply.items == items
    assert (reply.as_of, reply.age_seconds, reply.is_complete) == (500, 0.5, True)
    assert len(data) < 500 * 20


@pytest.mark.parametrize("length", [0, 1, 10, 40])
def test_a_reply_cut_short_is_refused(length):
    packed = pack_items([host_item(1, 1)])[:length]
    data = encode_message(
        PackedReply(as_of=1, age_seconds=0.0, is_complete=True, items=packed)
    )

    with pytest.raises(MalformedMessageError):
        decode_reply(data)


async def test_peers_that_ask_alike_share_one_packed_reply():
    directory = Directory()
    directory.replace([routing_item(1)], as_of=1, now=0.0)
    server = DirectoryServer(
        directory=directory, changed=Signal(), clock=lambda: 0.0, report=fail
    )

    assert server.pack(0) is server.pack(0)
    before = server.pack(0)
    directory.apply([host_item(1, 2)], as_of=2, now=0.0)
    assert server.pack(0) != before
