"""Steps that check the status command on a running fleet."""

import asyncio
import sys
from pathlib import Path

from behave import then

CTL = str(Path(sys.executable).parent / "daisygaugectl")
RETRY_SECONDS = 0.5


async def run_status(state):
    """Run the status command and return its exit code and output."""
    platform = f"--platform=http://{state.fleet.addresses.platform}"
    process = await asyncio.create_subprocess_exec(
        CTL, "status", platform, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def wait_for_status(state, expected, seconds):
    deadline = asyncio.get_running_loop().time() + seconds
    while True:
        code, output = await run_status(state)
        if code == expected or asyncio.get_running_loop().time() > deadline:
            return code, output
        await asyncio.sleep(RETRY_SECONDS)


@then("the status shows convergence within {seconds:d} seconds")
def check_convergence(context, seconds):
    code, output = context.run(wait_for_status(context.state, 0, seconds))
    assert code == 0, output


@then("the status names host {number:d} of {service} within {seconds:d} seconds")
def check_named_host(context, number, service, seconds):
    host = context.state.fleet.hosts_of(service)[number - 1]
    code, output = context.run(wait_for_status(context.state, 1, seconds))
    assert code == 1 and host.id in output, output
