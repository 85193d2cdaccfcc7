"""Steps that start fleets and stop, suspend or replace their processes."""

import asyncio
import signal

from behave import given, when


@given("a fleet with {balancers:d} balancers and {hosts:d} hosts a service")
def start_fleet(context, balancers, hosts):
    sizes = {"order-desk": hosts, "pattern-library": hosts}
    context.run(context.state.start_fleet(hosts=sizes, balancers=balancers))


def find_balancer(context, number):
    return list(context.state.fleet.balancers.values())[number - 1]


def find_host(context, number, service):
    return context.state.fleet.hosts_of(service)[number - 1]


@when("balancer {number:d} is killed")
def kill_balancer(context, number):
    context.run(find_balancer(context, number).process.kill())


@when("balancer {number:d} starts again")
def restart_balancer(context, number):
    balancer = find_balancer(context, number)
    context.run(context.state.fleet.restart_balancer(balancer))


@when("balancer {number:d} is frozen")
def suspend_balancer(context, number):
    process = find_balancer(context, number).process
    context.state.suspended_processes.append(process)
    process.suspend()


@when("balancer {number:d} wakes")
def resume_balancer(context, number):
    find_balancer(context, number).process.resume()


@when("every balancer is replaced in turn")
def replace_balancers(context):
    fleet = context.state.fleet
    for balancer in list(fleet.balancers.values()):
        code = context.run(fleet.replace_balancer(balancer))
        context.state.exit_codes.append(code)
        context.run(fleet.stand_ins.wait_live(set(fleet.balancers)))


@when("host {number:d} of {service} drains")
def drain_host(context, number, service):
    host = find_host(context, number, service)
    codes = context.run(context.state.fleet.drain_host(host))
    context.state.exit_codes.extend(codes)


@when("the agent of host {number:d} of {service} is killed")
def kill_agent(context, number, service):
    context.run(find_host(context, number, service).agent.kill())


@when("the agent of host {number:d} of {service} starts again")
def restart_agent(context, number, service):
    host = find_host(context, number, service)
    context.run(context.state.fleet.restart_agent(host))


@when("the agent of host {number:d} of {service} is frozen")
def suspend_agent(context, number, service):
    process = find_host(context, number, service).agent
    context.state.suspended_processes.append(process)
    process.suspend()


@when("the agent of host {number:d} of {service} wakes")
def resume_agent(context, number, service):
    find_host(context, number, service).agent.resume()


@when("the upstream of host {number:d} of {service} is killed")
def kill_upstream(context, number, service):
    context.run(find_host(context, number, service).upstream.kill())


@when("{seconds:g} seconds pass")
def wait(context, seconds):
    context.run(asyncio.sleep(seconds))


async def reuse_address(state, host, other):
    """Kill a host and start one of another service at its address."""
    fleet = state.fleet
    plan = next(plan for plan in fleet.deployment.services if plan.id == other)
    await asyncio.gather(host.agent.kill(), host.upstream.kill())
    state.runs_of_stopped_hosts.extend(fleet.ledger(host))
    del fleet.hosts[host.id]
    await fleet.publish_upstream(plan, host.index)
    await fleet.start_host(plan, host.index)


@when("host {number:d} of {service} dies and {other} takes its address")
def start_other_service(context, number, service, other):
    host = find_host(context, number, service)
    context.run(reuse_address(context.state, host, other))


@when("every host of {service} is replaced in turn")
def replace_hosts(context, service):
    fleet = context.state.fleet
    for host in fleet.hosts_of(service):
        context.state.exit_codes.extend(context.run(fleet.drain_host(host)))
        replacement = context.run(fleet.start_host(host.plan, host.index))
        context.run(fleet.wait_ready(replacement.agent))


@when("the host of {name} starts to drain")
def start_drain(context, name):
    state = context.state
    host = state.get_host_of_request(name)
    context.run(state.fleet.register_host(host, leaving=True))
    host.agent.send_signal(signal.SIGTERM)
