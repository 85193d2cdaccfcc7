"""Steps that publish records and look at what is in force."""

import asyncio
import time

from behave import given, then, when
from prometheus_client.parser import text_string_to_metric_families

from daisygauge_emulator.fleet import _documents as documents

REVISION = "daisygauge_configuration_revision"
POLL_SECONDS = 0.1


async def read_revision(scene, process):
    """Return the sum of revisions in force at a daemon, None when it is down."""
    url = f"http://{process.host}:{process.metrics_port}/metrics"
    try:
        async with scene.fleet.stand_ins.session.get(url) as answer:
            text = await answer.text()
    except (TimeoutError, OSError):
        return None
    for family in text_string_to_metric_families(text):
        if family.name == REVISION:
            return family.samples[0].value
    return None


def daemons_of(scene, service):
    """Return every process that needs the records of a service."""
    balancers = [balancer.process for balancer in scene.fleet.balancers.values()]
    agents = [host.agent for host in scene.fleet.hosts_of(service)]
    return [process for process in (*balancers, *agents) if process.running]


async def read_revisions(scene, service):
    processes = daemons_of(scene, service)
    values = await asyncio.gather(*(read_revision(scene, p) for p in processes))
    seen = {p.id: v for p, v in zip(processes, values, strict=True) if v is not None}
    highest = scene.highest_revisions
    highest.update({id: max(v, highest.get(id, v)) for id, v in seen.items()})
    return seen


def plan_of(scene, service):
    plans = scene.fleet.deployment.services
    return next(plan for plan in plans if plan.id == service)


async def publish(scene, service, revision, **fields):
    record = documents.service_record(
        plan_of(scene, service),
        address=scene.fleet.services[service],
        revision=revision,
        **fields,
    )
    await scene.fleet.stand_ins.publish(record)


@given("the revisions in force are noted")
@when("the revisions in force are noted")
def note_revisions(context):
    scene = context.scene
    scene.revisions = {
        service: context.run(read_revisions(scene, service))
        for service in scene.fleet.services
    }


@when("revision {revision:d} of {service} is published")
def publish_revision(context, revision, service):
    context.run(publish(context.scene, service, revision))


@when("revision {revision:d} of {service} is published with a retry share of {share:g}")
def publish_share(context, revision, service, share):
    context.run(publish(context.scene, service, revision, retry_share=share))


@when("an invalid revision {revision:d} of {service} is published")
def publish_invalid(context, revision, service):
    fields = {"placement": {"type": "no such policy"}}
    context.run(publish(context.scene, service, revision, **fields))


async def wait_for_sum(scene, service, expected, seconds):
    """Wait until every daemon of a service shows the expected sum."""
    deadline = time.monotonic() + seconds
    while True:
        seen = await read_revisions(scene, service)
        if seen and all(seen[id] == expected[id] for id in seen):
            return seen
        if time.monotonic() > deadline:
            return seen
        await asyncio.sleep(POLL_SECONDS)


@then("{growth:d} more revisions of {service} are in force within {seconds:d} seconds")
@then("{growth:d} more revision of {service} is in force within {seconds:d} seconds")
def in_force(context, growth, service, seconds):
    scene = context.scene
    before = scene.revisions[service]
    expected = {id: value + growth for id, value in before.items()}
    seen = context.run(wait_for_sum(scene, service, expected, seconds))
    assert seen == {id: expected[id] for id in seen}, f"{expected} {seen}"


@then("no revision of {service} is lower {seconds:d} seconds later")
def not_reverted(context, service, seconds):
    scene = context.scene
    context.run(asyncio.sleep(seconds))
    seen = context.run(read_revisions(scene, service))
    highest = scene.highest_revisions
    lower = {id: (highest[id], v) for id, v in seen.items() if v < highest[id]}
    assert not lower, lower
