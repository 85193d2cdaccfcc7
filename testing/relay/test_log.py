import json
import os
import select
import socket

import pytest

from daisygauge_relay import _events as events
from daisygauge_relay._log import MAX_PENDING_BYTES, MAX_QUEUED_LINES, QueuedLog


@pytest.fixture
def pipe():
    read, write = os.pipe()
    yield read, write
    os.close(read)
    os.close(write)


def write_line(log, number=0):
    log.write(events.SOURCE_REGAINED, source=f"peer-{number}", failures=1)


def read_lines(descriptor):
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()]


def test_a_line_is_written_with_the_time_of_its_event(pipe):
    read, write = pipe
    log = QueuedLog(descriptor=write, wall=lambda: 12.5)
    write_line(log)
    log.close()

    line = read_lines(read)[-1]
    assert (line["event"], line["at"], line["source"]) == (623, 12.5, "peer-0")


def test_a_stalled_reader_blocks_nothing_and_memory_stays_bounded(pipe):
    _, write = pipe
    log = QueuedLog(descriptor=write)
    log.start()
    for number in range(3 * MAX_QUEUED_LINES):
        log.emit(events.SOURCE_REGAINED, {"source": f"peer-{number}", "failures": 1})
        if number % 10 == 0:
            log.flush()

    assert len(log.pending) < 2 * MAX_PENDING_BYTES
    assert len(log.queue) <= MAX_QUEUED_LINES + 1
    assert log.total_dropped > 0


def test_dropped_lines_are_reported_when_the_reader_resumes(pipe):
    read, write = pipe
    log = QueuedLog(descriptor=write)
    log.start()
    for number in range(MAX_QUEUED_LINES + 7):
        log.emit(events.SOURCE_REGAINED, {"source": f"peer-{number}", "failures": 1})
    log.flush(lines=3)

    reported = [line for line in read_lines(read) if line["event"] == 626]
    assert [line["lines"] for line in reported] == [7]


def test_lines_that_clients_can_cause_are_limited(pipe):
    _, write = pipe
    now = 0.0
    log = QueuedLog(descriptor=write, clock=lambda: now)
    for number in range(2_000):
        log.write(events.FLOW_FOUND, flow=str(number), agent="10.0.0.1")

    assert len(log.queue) == events.FLOW_FOUND.burst


def test_a_burst_arrives_in_writes_of_whole_lines_that_a_pipe_takes_at_once():
    """Each write to the socket is one message, so that the reader sees its length."""
    reader, writer = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
    log = QueuedLog(descriptor=writer.fileno())
    log.start()
    for number in range(60):
        log.emit(events.SOURCE_REGAINED, {"source": f"peer-{number}", "failures": 1})
    log.flush(lines=60)
    reader.setblocking(False)

    writes = read_messages(reader)

    assert sum(data.count(b"\n") for data in writes) == 60
    assert all(data.endswith(b"\n") for data in writes)
    assert max(map(len, writes)) <= select.PIPE_BUF


def test_a_line_longer_than_a_pipe_takes_at_once_is_written_whole(pipe):
    read, write = pipe
    log = QueuedLog(descriptor=write)
    log.emit(
        events.SOURCE_REGAINED, {"source": "x" * 2 * select.PIPE_BUF, "failures": 1}
    )
    write_line(log)
    log.close()

    assert [line["event"] for line in read_lines(read)] == [623, 623]


def read_messages(reader):
    messages = []
    while True:
        try:
            messages.append(reader.recv(1 << 20))
        except BlockingIOError:
            return messages


def test_lines_for_a_closed_reader_are_discarded(pipe):
    read, write = os.pipe()
    os.close(read)
    log = QueuedLog(descriptor=write)
    write_line(log)
    log.close()
    os.close(write)

    assert log.pending == b""


def test_event_numbers_are_unique():
    numbers = [event.number for event in events.RELAY_EVENTS]

    assert len(set(numbers)) == len(numbers)
