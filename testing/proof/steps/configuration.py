"""Steps that publish records and check which revisions are in force."""

import asyncio
import time

from behave import given, then, when
from prometheus_client.parser import text_string_to_metric_families

from daisygauge_emulator.fleet import _documents as documents

REVISION = "daisygauge_configuration_revision"
POLL_SECONDS = 0.1


async def read_revision(state, process):
    """Return the sum of the revisions in force at a daemon, or None if it is down."""
    url = f"http://{process.host}:{process.metrics_port}/metrics"
    try:
        async with state.fleet.stand_ins.session.get(url) as answer:
            text = await answer.text()
    except (TimeoutError, OSError):
        return None
    for family in text_string_to_metric_families(text):
        if family.name == REVISION:
            return family.samples[0].value
    return None


def list_daemons(state, service):
    """Return every process that needs the records of a service."""
    balancers = [balancer.process for balancer in state.fleet.balancers.values()]
    agents = [host.agent for host in state.fleet.hosts_of(service)]
    return [process for process in (*balancers, *agents) if process.running]


async def read_revisions(state, service):
    processes = list_daemons(state, service)
    values = await asyncio.gather(*(read_revision(state, p) for p in processes))
    seen = {p.id: v for p, v in zip(processes, values, strict=True) if v is not None}
    highest = state.highest_revisions
    highest.update({id: max(v, highest.get(id, v)) for id, v in seen.items()})
    return seen


def get_plan(state, service):
    plans = state.fleet.deployment.services
    return next(plan for plan in plans if plan.id == service)


async def publish(state, service, revision, **fields):
    record = documents.service_record(
        get_plan(state, service),
        address=state.fleet.services[service],
        revision=revision,
        **fields,
    )
    await state.fleet.stand_ins.publish(record)


@given("the revisions in force are noted")
@when("the revisions in force are noted")
def record_revisions(context):
    state = context.state
    state.revisions = {
        service: context.run(read_revisions(state, service))
        for service in state.fleet.services
    }


@when("revision {revision:d} of {service} is published")
def publish_revision(context, revision, service):
    context.run(publish(context.state, service, revision))


@when("revision {revision:d} of {service} is published with a retry share of {share:g}")
def publish_retry_share(context, revision, service, share):
    context.run(publish(context.state, service, revision, retry_share=share))


@when("an invalid revision {revision:d} of {service} is published")
def publish_invalid(context, revision, service):
    fields = {"placement": {"type": "no such policy"}}
    context.run(publish(context.state, service, revision, **fields))


async def wait_for_revisions(state, service, expected, seconds):
    """Wait until each daemon of a service reports its expected sum of revisions."""
    deadline = time.monotonic() + seconds
    while True:
        seen = await read_revisions(state, service)
        if seen and all(seen[id] == expected[id] for id in seen):
            return seen
        if time.monotonic() > deadline:
            return seen
        await asyncio.sleep(POLL_SECONDS)


@then("{growth:d} more revisions of {service} are in force within {seconds:d} seconds")
@then("{growth:d} more revision of {service} is in force within {seconds:d} seconds")
def check_in_force(context, growth, service, seconds):
    state = context.state
    before = state.revisions[service]
    expected = {id: value + growth for id, value in before.items()}
    seen = context.run(wait_for_revisions(state, service, expected, seconds))
    assert seen == {id: expected[id] for id in seen}, f"{expected} {seen}"


@then("no revision of {service} is lower {seconds:d} seconds later")
def check_not_reverted(context, service, seconds):
    state = context.state
    context.run(asyncio.sleep(seconds))
    seen = context.run(read_revisions(state, service))
    highest = state.highest_revisions
    lower = {id: (highest[id], v) for id, v in seen.items() if v < highest[id]}
    assert not lower, lower
