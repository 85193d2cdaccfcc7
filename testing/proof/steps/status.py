"""Steps that ask a running fleet for its status."""

import asyncio
import sys
from pathlib import Path

from behave import then

CTL = str(Path(sys.executable).parent / "daisygaugectl")
RETRY_SECONDS = 0.5


async def run_status(scene):
    """Return the exit code and the output of the status command."""
    platform = f"--platform=http://{scene.fleet.addresses.platform}"
    process = await asyncio.create_subprocess_exec(
        CTL, "status", platform, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def wait_for_status(scene, expected, seconds):
    deadline = asyncio.get_running_loop().time() + seconds
    while True:
        code, output = await run_status(scene)
        if code == expected or asyncio.get_running_loop().time() > deadline:
            return code, output
        await asyncio.sleep(RETRY_SECONDS)


@then("the status shows convergence within {seconds:d} seconds")
def converged(context, seconds):
    code, output = context.run(wait_for_status(context.scene, 0, seconds))
    assert code == 0, output


@then("the status names host {number:d} of {service} within {seconds:d} seconds")
def names_host(context, number, service, seconds):
    host = context.scene.fleet.hosts_of(service)[number - 1]
    code, output = context.run(wait_for_status(context.scene, 1, seconds))
    assert code == 1 and host.id in output, output
