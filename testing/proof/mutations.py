"""Takes one mechanism out of the product at a time and expects a red scenario.

A scenario that stays green without its mechanism shows nothing. Each mutation
is made in a copy of the packages, which the started processes import instead.
Closes with ``N passed, N failed``; a mutation passes when its scenario is red.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from attrs import frozen

ROOT = Path(__file__).parents[2]
AGENT = "daisygauge-daemon/src/daisygauge_daemon/_agent"
BALANCER = "daisygauge-daemon/src/daisygauge_daemon/_balancer"
FEATURES = "testing/proof/features"
FAILED_CHECK = "ASSERT FAILED"


@frozen(kw_only=True)
class Edit:
    """A piece of the product and what replaces it, wherever the file holds it.

    :param file: path below ``packages``.
    """

    file: str
    old: str
    new: str

    def apply(self, packages: Path) -> None:
        """Make the edit in a copy of the packages."""
        path = packages / self.file
        sound = path.read_text()
        if self.old not in sound:
            raise SystemExit(
                f"{self.file} does not hold this any more, "
                f"bring the mutation up to date: {self.old}"
            )
        path.write_text(sound.replace(self.old, self.new))


@frozen(kw_only=True)
class Mutation:
    """The edits that take one mechanism out, and the scenario that proves it."""

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
                old="return max(first, second, key=_order)",
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
    """Run a mutation's scenario and tell whether it went red."""
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
    reasons = [line for line in finished.stdout.splitlines() if FAILED_CHECK in line]
    if reasons:
        print(f"  {reasons[0][:160]}", flush=True)
    else:
        print(f"  no check failed:\n{finished.stdout[-1500:]}{finished.stderr}")
    return bool(reasons)


def main() -> None:
    """Run every mutation, or those whose name holds the first argument."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [mutation for mutation in MUTATIONS if wanted in mutation.name]
    red = 0
    for mutation in chosen:
        print(f"{mutation.name}: {mutation.scenario}", flush=True)
        red += run_mutated(mutation)
    print(f"{red} passed, {len(chosen) - red} failed")
    raise SystemExit(red != len(chosen))


if __name__ == "__main__":
    main()
