"""Disable one mechanism of the product at a time and expect its scenario to fail.

A scenario that passes without its mechanism proves nothing. Each mutation is
applied to a copy of the packages, which the started processes import instead.
The last line is ``N passed, N failed``; a mutation passes if its scenario fails.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from attrs import frozen

from daisygauge_emulator.edits import Edit

ROOT = Path(__file__).parents[2]
AGENT = "daisygauge-daemon/src/daisygauge_daemon/_agent"
BALANCER = "daisygauge-daemon/src/daisygauge_daemon/_balancer"
FEATURES = "testing/proof/features"
FAILED_CHECK = "ASSERT FAILED"


@frozen(kw_only=True)
class Mutation:
    """The edits that disable one mechanism, and the scenario that must then fail."""

    name: str
    edits: tuple[Edit, ...]
    feature: str
    scenario: str


MUTATIONS = (
    Mutation(
        name="replies leave through one fixed balancer",
        edits=(
            Edit(
                file=f"{AGENT}/_replies.py",
                old="self.paths.choose(now=self.node.now()) or self.node.last_balancer",
                new="min(self.paths.probe_targets(now=self.node.now()), default=None)",
            ),
        ),
        feature="established_flows.feature",
        scenario="A balancer is killed while callers of feeds are silent",
    ),
    Mutation(
        name="neither agents nor balancers check the service of a packet",
        edits=(
            Edit(
                file=f"{AGENT}/_dispatch.py",
                old="if datagram.service != self.node.service_number:",
                new="if False:",
            ),
            Edit(
                file=f"{BALANCER}/_outer.py",
                old="if route[SERVICE_PART] != self.service_part:",
                new="if False:",
            ),
        ),
        feature="service_identity.feature",
        scenario="An address goes to a host of another service within a second",
    ),
    Mutation(
        name="idempotency keys are not remembered",
        edits=(
            Edit(
                file=f"{AGENT}/_request.py",
                old="if request.idempotency_key is not None:",
                new="if False:",
            ),
        ),
        feature="at_most_once.feature",
        scenario="A repeat on another connection gets the stored answer",
    ),
    Mutation(
        name="the last record read wins",
        edits=(
            Edit(
                file="daisygauge-records/src/daisygauge_records/_merge.py",
                old="return max(first, second, key=_order_key)",
                new="return second",
            ),
        ),
        feature="configuration.feature",
        scenario="An older revision is published again",
    ),
    Mutation(
        name="a leaving agent does not wait for what runs",
        edits=(
            Edit(
                file=f"{AGENT}/_drain.py",
                old="await self.wait_until_idle()",
                new="await asyncio.sleep(0)",
            ),
        ),
        feature="planned_stops.feature",
        scenario="Requests of many lengths are in flight while their host drains",
    ),
    Mutation(
        name="a leaving agent still takes new connections and requests",
        edits=(
            Edit(
                file=f"{AGENT}/_drain.py",
                old="self.node.leaving = True",
                new="self.node.leaving = False",
            ),
            Edit(
                file=f"{AGENT}/_drain.py",
                old="connection.go_away()",
                new="connection.wake_up()",
            ),
        ),
        feature="planned_stops.feature",
        scenario="The instance list lags behind a drain",
    ),
    Mutation(
        name="a request that was sent is called not run",
        edits=(
            Edit(
                file=f"{AGENT}/_upstream.py",
                old='return Unknown(reason=f"upstream broke off',
                new='return NotRun(reason=f"upstream broke off',
            ),
        ),
        feature="whole_answers.feature",
        scenario="An upstream dies in the middle of its answers",
    ),
)


def run_mutated(mutation: Mutation) -> bool:
    """Run a mutation's scenario and return True if one of its checks failed."""
    with tempfile.TemporaryDirectory(prefix="daisygauge-mutation-") as directory:
        packages = Path(directory) / "packages"
        shutil.copytree(ROOT / "packages", packages)
        for edit in mutation.edits:
            edit.apply(packages)
        sources = [str(source) for source in sorted(packages.glob("*/src"))]
        finished = subprocess.run(
            [
                str(Path(sys.executable).parent / "behave"),
                "--format=progress3",
                f"{FEATURES}/{mutation.feature}",
                f"--name={mutation.scenario}",
            ],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sources)},
            capture_output=True,
            text=True,
        )
    failed_checks = [
        line for line in finished.stdout.splitlines() if FAILED_CHECK in line
    ]
    if failed_checks:
        print(f"  {failed_checks[0][:160]}", flush=True)
    else:
        print(f"  no check failed:\n{finished.stdout[-1500:]}{finished.stderr}")
    return bool(failed_checks)


def main() -> None:
    """Run all mutations, or those whose name contains the first argument."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    selected = [mutation for mutation in MUTATIONS if pattern in mutation.name]
    detected = 0
    for mutation in selected:
        print(f"{mutation.name}: {mutation.scenario}", flush=True)
        detected += run_mutated(mutation)
    print(f"{detected} passed, {len(selected) - detected} failed")
    raise SystemExit(detected != len(selected))


if __name__ == "__main__":
    main()
