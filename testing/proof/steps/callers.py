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


@when("request {name} to {service} starts and takes {milliseconds:d} ms")
def begin_request(context, name, service, milliseconds):
    fields = {"path": f"/run?work_ms={milliseconds}&size=1000"}
    context.run(begin(context.scene, name, service, fields))


@when("{count:d} requests of {milliseconds:d} ms to {service} start")
def begin_requests(context, count, milliseconds, service):
    for number in range(count):
        begin_request(context, f"request-{number}", service, milliseconds)


@when("order {name} with key {key} to {service} starts and takes {milliseconds:d} ms")
def begin_order(context, name, key, service, milliseconds):
    fields = {
        "path": f"/run?work_ms={milliseconds}&size=100",
        "method": "POST",
        "idempotency_key": key,
    }
    context.run(begin(context.scene, name, service, fields))


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
