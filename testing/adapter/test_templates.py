"""The settings templates in deploy/ contain every setting of their role."""

import json
import re
from pathlib import Path

import pytest

from daisygauge_relay import (
    RelayAgentSettings,
    RelayBalancerSettings,
    parse_relay_settings,
)

DEPLOY = Path(__file__).parents[2] / "deploy"
VALUES = {
    "bounds.flowLifetimeS": 60, "bounds.graceS": 6, "bootstrap": False,
    "nodeName": "n", "region": "r", "zone": "a", "ipAddress": "10.0.0.1",
    "listenAddresses.datagramAddress": "10.0.0.1:8172",
    "listenAddresses.ready": "10.0.0.1:8167",
    "listenAddresses.outbound": "10.0.0.1:8162",
    "internalPortRange.0": 7720, "internalPortRange.1": 7735,
    "platform.address": "10.9.9.9:80", "service": "desk", "app": "10.0.0.1:9000",
}  # fmt: skip
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)(?:\|json)?\}\}")


def fill_in(template, values):
    """Fill in a template; a section is left out if its value is missing."""
    text = SECTION.sub(lambda m: m[2] if m[1] in values else "", template)
    return VALUE.sub(lambda match: json.dumps(values[match[1]]), text)


@pytest.mark.parametrize(
    ("name", "model"),
    [("balancer.json", RelayBalancerSettings), ("agent.json", RelayAgentSettings)],
)
def test_a_template_sets_every_field(name, model):
    template = (DEPLOY / name).read_text()

    missing = [f for f in model.__struct_fields__ if f'"{f}":' not in template]
    assert missing == []


@pytest.mark.parametrize(
    ("bounds", "expected"), [({}, 0.0), ({"bounds.evacuationMs": 5000}, 5000.0)]
)
def test_an_agent_s_template_gives_the_limit_of_an_evacuation(bounds, expected):
    """A comma too many in a section would keep every agent from starting."""
    text = fill_in((DEPLOY / "agent.json").read_text(), VALUES | bounds)

    settings = parse_relay_settings(text, RelayAgentSettings, name="agent.json")
    assert settings.evacuation_milliseconds == expected
