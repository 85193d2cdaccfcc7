"""Steps that check what must always hold."""

import asyncio

from behave import then

from daisygauge_emulator.caller import Answered, NotRun, Unknown

OUTCOMES = {"answered": Answered, "not run": NotRun, "unknown": Unknown}


@then("no feed is broken")
def no_feed_broken(context):
    breaks = [reason for report in context.scene.reports for reason in report.breaks]
    assert not breaks, breaks


@then("every feed goes on within {seconds:d} seconds")
def feeds_go_on(context, seconds):
    scene = context.scene
    reports = [opened.feed.report for opened in scene.feeds]
    before = [report.events for report in reports]

    def all_grew():
        return all(
            report.events > count for report, count in zip(reports, before, strict=True)
        )

    assert context.run(scene.until(all_grew, seconds=seconds)), (
        f"events before {before}, after {[r.events for r in reports]}"
    )


@then("every request has a true outcome")
def outcomes_true(context):
    account = context.scene.account()
    assert account.requests > 0
    assert account.complete, account.notes
    assert account.consistent, account.notes


@then("every begun request has a true outcome")
def begun_outcomes_true(context):
    for name in list(context.scene.pending):
        context.run(context.scene.outcome(name))
    outcomes_true(context)


@then("every request is answered whole")
def all_answered(context):
    account = context.scene.account()
    assert account.requests > 0
    assert account.answered_whole == account.requests, account
    assert account.consistent, account.notes


@then("no request has an unknown outcome")
def none_unknown(context):
    account = context.scene.account()
    assert account.unknown == 0, account.notes


@then("nothing reached another service")
def nothing_misdelivered(context):
    account = context.scene.account()
    assert account.misdelivered == 0, account.notes


@then("no order runs twice")
def no_duplicates(context):
    account = context.scene.account()
    assert account.duplicate_runs == 0, account.notes


@then("key {key} ran {times:d} time")
def key_ran(context, key, times):
    runs = [run for run in context.scene.runs() if run.idempotency_key == key]
    assert len(runs) == times, runs


@then("the outcome of {name} is {outcome}")
def has_outcome(context, name, outcome):
    seen = context.run(context.scene.outcome(name))
    assert isinstance(seen, OUTCOMES[outcome]), seen


@then("every planned stop ended with exit code 0")
def stops_graceful(context):
    assert context.scene.exit_codes
    assert not any(context.scene.exit_codes), context.scene.exit_codes


@then("no run starts on the host of {name} for {seconds:g} seconds")
def no_new_work(context, name, seconds):
    scene = context.scene
    host = scene.host_of(name)
    assert host.agent.running, "the agent ended too early to show anything"
    before = len(scene.fleet.ledger(host))
    context.run(asyncio.sleep(seconds))
    after = len(scene.fleet.ledger(host))
    assert after == before, f"{after - before} runs started late on {host.id}"


@then("the host of {name} ends with exit code 0")
def host_ends(context, name):
    scene = context.scene
    code = context.run(scene.host_of(name).agent.wait())
    assert code == 0, code
