"""Steps that inject faults into the fabric and the platform."""

from behave import when

from daisygauge_emulator.fleet import StandInClient


def stand_ins(context) -> StandInClient:
    return context.state.fleet.stand_ins


def set_faults(context, **faults):
    context.run(stand_ins(context).set_fabric_faults(**faults))


@when("the fabric delays packets by {milliseconds:d} ms and reorders {percent:d}%")
def reorder(context, milliseconds, percent):
    set_faults(
        context,
        delay_ms=milliseconds,
        jitter_ms=milliseconds,
        reorder=percent / 100,
    )


@when("the fabric loses, doubles and reorders {percent:d}% of all packets")
def impair(context, percent):
    share = percent / 100
    set_faults(context, loss=share, duplicate=share, reorder=share)


@when("the fabric is sound again")
def clear_fabric_faults(context):
    set_faults(context)


@when("callers are split between balancer {first:d} and the others")
def split_callers(context, first):
    ids = list(context.state.fleet.balancers)
    chosen = ids.pop(first - 1)
    set_faults(context, groups=[[chosen], ids])


@when("nothing from balancer {number:d} reaches callers")
def block_outbound(context, number):
    id = list(context.state.fleet.balancers)[number - 1]
    set_faults(context, cuts={id: "out"})


@when("the fabric forgets all present callers of {service}")
def forget_flows(context, service):
    context.run(stand_ins(context).silence_callers(service=service))


@when("the fabric forgets how to reach the present callers of {service}")
def forget_outbound_flows(context, service):
    context.run(stand_ins(context).silence_callers(service=service, direction="out"))


@when("the platform goes down")
def stop_platform(context):
    context.run(stand_ins(context).set_platform_faults(down=True))


@when("the platform serves old records")
def serve_stale_records(context):
    context.run(stand_ins(context).set_platform_faults(stale=True))


@when("the platform is sound again")
def clear_platform_faults(context):
    context.run(stand_ins(context).set_platform_faults(down=False, stale=False))


@when("the instance list lags by {seconds:d} seconds")
def delay_instance_list(context, seconds):
    context.run(stand_ins(context).set_platform_faults(list_lag_seconds=seconds))
