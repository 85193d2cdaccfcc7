"""Hooks for behave: one event loop for all scenarios, one fleet per scenario."""

import asyncio
import shutil
import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from scenario_state import ScenarioState


def run_on_loop(context, coroutine):
    """Run a coroutine on the event loop on which feeds and load also run."""
    return asyncio.run_coroutine_threadsafe(coroutine, context.loop).result()


def before_all(context):
    context.loop = asyncio.new_event_loop()
    context.thread = threading.Thread(target=context.loop.run_forever, daemon=True)
    context.thread.start()
    context.run = lambda coroutine: run_on_loop(context, coroutine)
    context.counts = {"passed": 0, "failed": 0}
    context.number = 0


def before_scenario(context, scenario):
    context.number += 1
    context.state = ScenarioState(number=context.number)


def after_scenario(context, scenario):
    context.run(context.state.close())
    fleet = context.state.fleet
    if fleet is not None and scenario.status.name == "passed":
        shutil.rmtree(fleet.directory)
    status = "passed" if scenario.status.name == "passed" else "failed"
    if scenario.status.name != "skipped":
        context.counts[status] += 1


def after_all(context):
    context.loop.call_soon_threadsafe(context.loop.stop)
    context.thread.join()
    print(f"{context.counts['passed']} passed, {context.counts['failed']} failed")
