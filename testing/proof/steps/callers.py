"""Steps that open feeds and send requests."""

from behave import given, when

from daisygauge_emulator.caller import Request


@given("{count:d} feeds of {service} are open")
def open_feeds(context, count, service):
    for _ in range(count):
        context.run(context.scene.open_feed(service))


@given("{count:d} callers of each service send requests")
def start_load(context, count):
    context.run(context.scene.start_load(callers=count))


@when("the callers stop")
def stop_load(context):
    context.run(context.scene.stop_load())


async def begin(scene, name, service, fields):
    scene.begin(name, service, **fields)


@when("order {name} with key {key} to {service} starts and takes {milliseconds:d} ms")
def begin_order(context, name, key, service, milliseconds):
    fields = {
        "path": f"/run?work_ms={milliseconds}&size=100",
        "method": "POST",
        "idempotency_key": key,
    }
    context.run(begin(context.scene, name, service, fields))


@when("{count:d} orders of {milliseconds:d} ms to {service} start")
def begin_orders(context, count, milliseconds, service):
    for number in range(count):
        name = f"order-{number}"
        begin_order(context, name, f"key-{number}", service, milliseconds)


async def repeat(scene, name, first):
    earlier = (await scene.pending[first]).request
    outcome = scene.outcomes[first].outcome
    answered_by = getattr(outcome, "headers", {}).get("x-daisygauge-host")
    request = Request(
        path=earlier.path,
        method=earlier.method,
        idempotency_key=earlier.idempotency_key,
        first_host=answered_by or outcome.host,
    )
    scene.outcomes[name] = await scene.call(scene.outcomes[first].service, request)


@when("order {name} repeats {first} on another connection")
def repeat_order(context, name, first):
    context.run(context.scene.outcome(first))
    context.run(repeat(context.scene, name, first))


DOWNLOAD_BYTES = 90_000


@when("download {name} of {service} starts and lasts {seconds:d} seconds")
def begin_download(context, name, service, seconds):
    rate = DOWNLOAD_BYTES // seconds
    fields = {
        "path": f"/download?size={DOWNLOAD_BYTES}&rate={rate}",
        "deadline_seconds": 60.0,
    }
    scene = context.scene
    context.run(begin(scene, name, service, fields))
    seen = context.run(scene.until(lambda: scene.host_named(name), seconds=5))
    assert seen, f"{name} did not start"
