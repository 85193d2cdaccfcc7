"""Runs every policy on the same arrivals."""

from __future__ import annotations

from collections.abc import Iterable

from ..fleet import AddressPlan
from ._pages import PAGES
from ._policies import DEFAULT_POLICIES, OURS, POLICIES
from ._report import format_measurements
from ._run import Measurement, run_pages

PAGE_IDS = tuple(page.id for page in PAGES)


async def run_policies(
    *, pages: Iterable[str] = PAGE_IDS, policies: Iterable[str] = DEFAULT_POLICIES
) -> list[Measurement]:
    """Run the named pages under each named policy, one fleet after another."""
    measurements = []
    for number, policy in enumerate(policies):
        chosen = [
            page
            for page in PAGES
            if page.id in pages and (policy == OURS or not page.only_ours)
        ]
        results = await run_pages(
            chosen,
            policy=policy,
            fields=POLICIES[policy],
            addresses=AddressPlan.for_this_process(number=number),
        )
        print(format_measurements(results), flush=True)
        measurements += results
    return measurements
