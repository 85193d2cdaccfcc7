import asyncio
import gc
import random
import zlib

import msgspec
import pytest
import uvloop

from daisygauge_control import (
    Directory,
    DirectoryFollower,
    DirectoryItem,
    DirectoryServer,
    DirectoryUpdate,
    EvacuationRecord,
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
from daisygauge_control._directory_exchange import frame_message
from daisygauge_control._directory_follower import PLATFORM
from daisygauge_control._directory_messages import (
    ChangesReply,
    MalformedMessageError,
    PackedReply,
    decode_reply,
    encode_message,
    pack_items,
)
from daisygauge_control._directory_watchers import choose_agent_watchers, order_watchers

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
    """A reader that returns or raises the given answers in turn."""

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


def max_retry_delay(follower, times, *, failures):
    pauses = []
    for _ in range(failures):
        follower._report_failure(PLATFORM, "down")
        pauses.append(follower.health[PLATFORM].retry_at - times[0])
    return max(pauses)


def test_retries_without_a_configuration_are_frequent():
    follower, _, times = make_follower(FakeReader())

    assert max_retry_delay(follower, times, failures=20) <= 0.4


def test_retries_with_a_configuration_back_off_further():
    follower, _, times = make_follower(FakeReader())
    follower.directory.replace([routing_item(1)], as_of=1, now=0.0)

    assert 0.6 <= max_retry_delay(follower, times, failures=20) <= 1.2


async def test_peers_are_asked_without_waiting_until_a_configuration_is_known():
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
    """A watcher that always returns the given reply."""

    def __init__(self, reply):
        self.reply = reply
        self.waits = []

    async def fetch(self, *, after, wait_seconds, answer_seconds=0.5):
        self.waits.append(wait_seconds)
        return self.reply


def narrow_follower(*answers, watcher_reply=None):
    """Return a follower that reads three hosts over a narrow link."""
    hosts = tuple(host_item(n, n) for n in range(1, 4))
    reader = FakeReader(DirectoryUpdate(as_of=9, items=hosts), *answers)
    follower, events, times = make_follower(reader, narrow=True)
    reply = watcher_reply or ChangesReply(
        as_of=9, age_seconds=0.1, is_complete=True, items=(*hosts, routing_item(8))
    )
    for number in range(1, 4):
        follower.peers[f"127.60.0.{number}"] = FakePeer(reply)
    return follower, reader, times


async def test_narrow_link_reads_hosts_from_the_platform_and_routes_from_a_watcher():
    follower, reader, _ = narrow_follower()

    await follower.step()
    assert reader.asked == ["hosts"]
    assert not follower.directory.view.is_complete
    await follower.step()

    assert follower.directory.view.is_complete
    assert follower.directory.as_of == 9
    assert follower.directory.first_read_at is not None
    assert reader.asked == ["hosts"]


async def test_narrow_link_reads_routes_from_the_platform_if_no_watcher_has_them():
    nothing = ChangesReply(as_of=0, age_seconds=0.0, is_complete=True, items=())
    everything = DirectoryUpdate(as_of=9, items=(routing_item(8),))
    follower, reader, times = narrow_follower(everything, watcher_reply=nothing)
    for _ in range(12):
        follower.clock = lambda at=times[0]: at
        await follower.step()
        times[0] += 0.1

    assert reader.asked[:2] == ["hosts", "all"]
    assert follower.directory.view.is_complete
    # The platform was avoided but not unavailable, so no entry can have lapsed.
    assert follower.directory.lapses_expected_until == float("-inf")


async def test_watchers_are_asked_with_waiting_until_the_first_configuration():
    hosts = tuple(host_item(n, n) for n in range(1, 9))
    follower, _, _ = make_follower(FakeReader(DirectoryUpdate(as_of=9, items=hosts)))
    await follower.step()
    watchers = choose_agent_watchers(follower.directory.view.hosts_by_address)
    reply = ChangesReply(as_of=9, age_seconds=0.1, is_complete=False, items=())
    peers = {watcher: FakePeer(reply) for watcher in watchers}
    follower.peers.update(peers)

    await follower.step()

    assert [wait for peer in peers.values() for wait in peer.waits] == [1.0]


async def test_a_full_read_precedes_the_first_watch():
    reader = FakeReader(DirectoryUpdate(as_of=7, items=()))
    follower, _, _ = make_follower(reader)

    await follower.step()
    await follower.step()

    assert reader.asked == ["all", 7]


async def test_a_full_read_is_repeated_after_lost_history():
    reader = FakeReader(DirectoryUpdate(as_of=7, items=()), HistoryLostError())
    follower, _, _ = make_follower(reader)

    for _ in range(3):
        await follower.step()

    assert reader.asked == ["all", 7, "all"]


async def test_loss_and_recovery_of_a_source_are_reported_once():
    reader = FakeReader(unavailable(), unavailable())
    follower, events, times = make_follower(reader)

    for _ in range(3):
        await follower.step()
        times[0] += 10.0

    kinds = [type(event) for event in events]
    assert kinds.count(SourceLost) == 1
    assert kinds.count(SourceRegained) == 1


async def test_retry_delay_of_a_failing_source_grows():
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


async def test_watchers_read_the_platform_and_others_follow_a_watcher():
    items = tuple(host_item(n, n) for n in range(1, 9))
    follower, _, _ = make_follower(FakeReader())
    follower.directory.replace(items, as_of=9, now=0.0)
    watchers = choose_agent_watchers(follower.directory.view.hosts_by_address)

    assert (
        follower.list_sources()[0]
        == order_watchers(watchers, follower="127.60.0.200")[0]
    )
    follower.own_address = watchers[0]
    assert follower.list_sources()[0] == PLATFORM


async def test_first_peers_are_preferred_while_no_host_is_known():
    follower, *_ = make_follower(FakeReader(), peers=("127.60.0.8", "127.60.0.9"))
    assert follower.choose_source(now=0.0) == PLATFORM

    await follower.step()

    assert follower.choose_source(now=0.0) in ("127.60.0.8", "127.60.0.9")
    assert PLATFORM in follower.list_sources()


async def test_a_first_peer_watches_the_platform_while_no_host_is_known():
    follower, *_ = make_follower(FakeReader(), peers=("127.60.0.200", "127.60.0.9"))
    await follower.step()

    assert follower.choose_source(now=0.0) == PLATFORM


async def test_the_platform_is_asked_if_a_watcher_fails():
    follower, _, _ = make_follower(FakeReader())
    follower.directory.replace([host_item(1, 1), host_item(2, 2)], as_of=9, now=0.0)
    first = follower.list_sources()[0]
    follower._report_failure(first, "dark")

    assert follower.choose_source(now=0.0) == PLATFORM


def test_the_number_of_watchers_grows_slower_than_the_fleet():
    counts = [
        len(choose_agent_watchers(map(str, range(n)))) for n in (2, 10, 100, 6_500)
    ]

    assert counts == [2, 3, 5, 271]


def test_few_watchers_change_when_a_host_leaves():
    agents = [f"10.0.0.{n}" for n in range(40)]
    before = set(choose_agent_watchers(agents))
    leaver = sorted(before)[0]
    after = set(choose_agent_watchers(agent for agent in agents if agent != leaver))

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


async def test_a_peer_sends_the_whole_directory_and_then_changes(served):
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


async def test_a_peer_without_old_removals_sends_the_whole_directory(served):
    directory, _, _ = served
    directory.replace([host_item(1, 50)], as_of=60, now=0.0)
    reader = PeerReader(host="127.60.0.1", port=PEER_PORT)

    reply = await reader.fetch(after=20, wait_seconds=0.1)
    reader.close()

    assert reply.is_complete


async def test_old_data_of_a_peer_is_merged_but_counts_as_a_failure(served):
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


async def test_an_invalid_reply_is_a_failure_of_the_source():
    async def send_garbage(reader, writer):
        writer.write(b"\xff\xff\xff\xff garbage")
        await writer.drain()

    server = await asyncio.start_server(send_garbage, "127.60.0.9", PEER_PORT)
    reader = PeerReader(host="127.60.0.9", port=PEER_PORT)

    with pytest.raises(PlatformUnavailableError):
        await reader.fetch(after=0, wait_seconds=0.1)
    server.close()


async def test_a_silent_peer_times_out():
    async def stay_silent(reader, writer):
        await asyncio.sleep(30)

    server = await asyncio.start_server(stay_silent, "127.60.0.9", PEER_PORT)
    reader = PeerReader(host="127.60.0.9", port=PEER_PORT)

    with pytest.raises(PlatformUnavailableError):
        await reader.fetch(after=0, wait_seconds=0.1)
    server.close()


def test_a_connection_is_reopened_after_a_reset():
    """Runs on uvloop as the product does; it refuses to write to a closed transport."""
    uvloop.run(fetch_twice_with_a_reset_between())


async def fetch_twice_with_a_reset_between():
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


def test_a_client_that_disconnects_while_waiting_causes_no_error():
    uvloop.run(disconnect_while_waiting())


async def disconnect_while_waiting():
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


def test_a_reply_round_trips_and_is_small():
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
def test_a_truncated_reply_is_refused(length):
    packed = pack_items([host_item(1, 1)])[:length]
    data = encode_message(
        PackedReply(as_of=1, age_seconds=0.0, is_complete=True, items=packed)
    )

    with pytest.raises(MalformedMessageError):
        decode_reply(data)


async def test_equal_requests_share_one_packed_reply():
    directory = Directory()
    directory.replace([routing_item(1)], as_of=1, now=0.0)
    server = DirectoryServer(
        directory=directory, changed=Signal(), clock=lambda: 0.0, report=fail
    )

    assert server.pack(0) is server.pack(0)
    before = server.pack(0)
    directory.apply([host_item(1, 2)], as_of=2, now=0.0)
    assert server.pack(0) != before


def evacuation_item(revision):
    record = EvacuationRecord(failure_domain="a")
    return DirectoryItem(key="op/evacuate/a", revision=revision, content=record)


async def test_a_follower_learns_an_evacuation_and_its_end_from_a_peer(served):
    """The store is down for the follower; the peer read the key before."""
    directory, changed, _ = served
    directory.replace([host_item(1, 5), evacuation_item(6)], as_of=6, now=0.0)
    follower, _, _ = make_follower(FakeReader(unavailable()), peers=["127.60.0.1"])
    for _ in range(2):
        await follower.step()
    assert follower.directory.view.evacuated == {"a"}

    ending = DirectoryItem(key="op/evacuate/a", revision=7, content=None)
    directory.apply([ending], as_of=7, now=0.0)
    changed.notify()
    await follower.step()
    assert follower.directory.view.evacuated == frozenset()


async def test_a_follower_learns_an_end_before_the_peer_s_history_began(served):
    directory, _, _ = served
    directory.replace([host_item(1, 5)], as_of=60, now=0.0)
    follower, _, _ = make_follower(FakeReader(), peers=["127.60.0.1"])
    follower.directory.replace([evacuation_item(6)], as_of=6, now=0.0)
    follower.needs_full_read = False

    await follower.step()

    assert follower.directory.view.evacuated == frozenset()


async def test_a_narrow_link_knows_no_evacuation_and_no_route_until_both_are_read():
    hosts = tuple(host_item(n, n) for n in range(1, 4))
    reply = ChangesReply(
        as_of=9, age_seconds=0.1, is_complete=True,
        items=(*hosts, routing_item(8), evacuation_item(7)),
    )  # fmt: skip
    follower, _, _ = narrow_follower(watcher_reply=reply)

    await follower.step()
    assert not follower.directory.view.is_complete
    assert follower.directory.first_read_at is None
    await follower.step()

    assert follower.directory.view.is_complete
    assert follower.directory.view.evacuated == {"a"}


async def test_a_reply_with_an_unknown_kind_of_item_leads_to_another_source():
    """So does an old version that gets an evacuation from a newer one."""
    unknown = ["op/later", 5, ["a-later-kind", "x"]]
    items = zlib.compress(msgspec.msgpack.encode([unknown]))
    reply = PackedReply(as_of=5, age_seconds=0.0, is_complete=True, items=items)

    async def send_reply(reader, writer):
        writer.write(frame_message(encode_message(reply)))
        await writer.drain()

    server = await asyncio.start_server(send_reply, "127.60.0.9", PEER_PORT)
    reader = FakeReader(unavailable(), DirectoryUpdate(as_of=9, items=()))
    follower, events, times = make_follower(reader, peers=["127.60.0.9"])
    for _ in range(2):
        await follower.step()
    times[0] = 5.0
    await follower.step()
    server.close()

    lost = [event.source for event in events if isinstance(event, SourceLost)]
    assert lost == [PLATFORM, "127.60.0.9"]
    assert follower.directory.as_of == 9
