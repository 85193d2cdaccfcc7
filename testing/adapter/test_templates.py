"""The settings templates in deploy/ contain every setting of their role."""

from pathlib import Path

import pytest

from daisygauge_relay import RelayAgentSettings, RelayBalancerSettings

DEPLOY = Path(__file__).parents[2] / "deploy"


@pytest.mark.parametrize(
    ("name", "model"),
    [("balancer.json", RelayBalancerSettings), ("agent.json", RelayAgentSettings)],
)
def test_a_template_sets_every_field(name, model):
    template = (DEPLOY / name).read_text()

    missing = [f for f in model.__struct_fields__ if f'"{f}":' not in template]
    assert missing == []
