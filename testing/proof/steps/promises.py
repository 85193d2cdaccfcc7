"""Steps that check the promises: outcomes, feeds, runs and planned stops."""

import asyncio

from behave import then

from daisygauge_emulator.caller import Answered, NotRun, Unknown

OUTCOMES = {"answered": Answered, "not run": NotRun, "unknown": Unknown}


@then("no feed is broken")
def check_no_feed_broken(context):
    breaks = [reason for report in context.state.reports for reason in report.breaks]
    assert not breaks, breaks


@then("every feed goes on within {seconds:d} seconds")
def check_feeds_go_on(context, seconds):
    state = context.state
    reports = [opened.feed.report for opened in state.feeds]
    before = [report.events for report in reports]

    def all_grew():
        return all(
            report.events > count for report, count in zip(reports, before, strict=True)
        )

    assert context.run(state.wait_until(all_grew, seconds=seconds)), (
        f"events before {before}, after {[r.events for r in reports]}"
    )


@then("every request has a true outcome")
def check_outcomes(context):
    reconciliation = context.state.reconcile_requests()
    assert reconciliation.requests > 0
    assert reconciliation.complete, reconciliation.notes
    assert reconciliation.consistent, reconciliation.notes


@then("every begun request has a true outcome")
def check_started_outcomes(context):
    for name in list(context.state.pending_requests):
        context.run(context.state.wait_for_outcome(name))
    check_outcomes(context)


@then("every request is answered whole")
def check_all_answered(context):
    reconciliation = context.state.reconcile_requests()
    assert reconciliation.requests > 0
    assert reconciliation.answered_whole == reconciliation.requests, reconciliation
    assert reconciliation.consistent, reconciliation.notes


@then("no request has an unknown outcome")
def check_no_unknown_outcome(context):
    reconciliation = context.state.reconcile_requests()
    assert reconciliation.unknown == 0, reconciliation.notes


@then("nothing reached another service")
def check_nothing_misdelivered(context):
    reconciliation = context.state.reconcile_requests()
    assert reconciliation.misdelivered == 0, reconciliation.notes


@then("no order runs twice")
def check_no_duplicate_runs(context):
    reconciliation = context.state.reconcile_requests()
    assert reconciliation.duplicate_runs == 0, reconciliation.notes


@then("key {key} ran {times:d} time")
def check_key_runs(context, key, times):
    runs = [run for run in context.state.all_runs() if run.idempotency_key == key]
    assert len(runs) == times, runs


@then("the outcome of {name} is {outcome}")
def check_outcome(context, name, outcome):
    seen = context.run(context.state.wait_for_outcome(name))
    assert isinstance(seen, OUTCOMES[outcome]), seen


@then("every planned stop ended with exit code 0")
def check_exit_codes(context):
    assert context.state.exit_codes
    assert not any(context.state.exit_codes), context.state.exit_codes


@then("no run starts on the host of {name} for {seconds:g} seconds")
def check_no_new_runs(context, name, seconds):
    state = context.state
    host = state.get_host_of_request(name)
    assert host.agent.running, "the agent exited before the check could begin"
    before = len(state.fleet.ledger(host))
    context.run(asyncio.sleep(seconds))
    after = len(state.fleet.ledger(host))
    assert after == before, f"{after - before} runs started on {host.id} while draining"


@then("the host of {name} ends with exit code 0")
def check_host_exit(context, name):
    state = context.state
    code = context.run(state.get_host_of_request(name).agent.wait())
    assert code == 0, code
