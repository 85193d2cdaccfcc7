"""Steps that open feeds and send requests."""

from behave import given, when

from daisygauge_emulator.caller import Caller, Request


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


async def repeat(scene, name, service, key, host):
    caller = Caller(scene.fleet.target(service))
    scene.callers.append(caller)
    request = Request(
        path="/run?work_ms=10&size=100",
        method="POST",
        idempotency_key=key,
        first_host=host,
    )
    scene.outcomes[name] = await scene.call_with(caller, request)


@when("order {name} repeats key {key} to {service} naming the first host of {first}")
def repeat_order(context, name, key, service, first):
    outcome = context.run(context.scene.outcome(first))
    host = getattr(outcome, "host", None) or outcome.headers["x-daisygauge-host"]
    context.run(repeat(context.scene, name, service, key, host))
