"""Steps that open feeds and send requests."""

from behave import given, when

from daisygauge_emulator.caller import Request


@given("{count:d} feeds of {service} are open")
def open_feeds(context, count, service):
    for _ in range(count):
        context.run(context.state.open_feed(service))


@given("{count:d} callers of each service send requests")
def start_load(context, count):
    context.run(context.state.start_load(callers=count))


@when("the callers stop")
def stop_load(context):
    context.run(context.state.stop_load())


async def start_request(state, name, service, fields):
    state.start_request(name, service, **fields)


@when("order {name} with key {key} to {service} starts and takes {milliseconds:d} ms")
def start_order(context, name, key, service, milliseconds):
    fields = {
        "path": f"/run?work_ms={milliseconds}&size=100",
        "method": "POST",
        "idempotency_key": key,
    }
    context.run(start_request(context.state, name, service, fields))


@when("{count:d} orders of {milliseconds:d} ms to {service} start")
def start_orders(context, count, milliseconds, service):
    for number in range(count):
        name = f"order-{number}"
        start_order(context, name, f"key-{number}", service, milliseconds)


async def send_repeat(state, name, first):
    earlier = (await state.pending_requests[first]).request
    outcome = state.outcomes[first].outcome
    answered_by = getattr(outcome, "headers", {}).get("x-daisygauge-host")
    request = Request(
        path=earlier.path,
        method=earlier.method,
        idempotency_key=earlier.idempotency_key,
        first_host=answered_by or outcome.host,
    )
    state.outcomes[name] = await state.call(state.outcomes[first].service, request)


@when("order {name} repeats {first} on another connection")
def repeat_order(context, name, first):
    context.run(context.state.wait_for_outcome(first))
    context.run(send_repeat(context.state, name, first))


DOWNLOAD_BYTES = 90_000


@when("download {name} of {service} starts and lasts {seconds:d} seconds")
def start_download(context, name, service, seconds):
    rate = DOWNLOAD_BYTES // seconds
    fields = {
        "path": f"/download?size={DOWNLOAD_BYTES}&rate={rate}",
        "deadline_seconds": 60.0,
    }
    state = context.state
    context.run(start_request(state, name, service, fields))
    seen = context.run(state.wait_until(lambda: state.get_host_header(name), seconds=5))
    assert seen, f"{name} did not start"
