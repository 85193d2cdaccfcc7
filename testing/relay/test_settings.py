import json

import pytest
from msgspec.structs import replace

from daisygauge_relay import (
    RelayAgentSettings,
    RelayBalancerSettings,
    RelaySettingsError,
    load_relay_settings,
    parse_relay_settings,
)

from .network import Network, ask_all

SHARED = {
    "id": "balancer-1",
    "region": "r",
    "failure_domain": "a",
    "host": "10.0.0.1",
    "client_address": "10.0.0.1:8172",
    "ready": "10.0.0.1:8167",
    "inner_ports": [7720, 7735],
    "platform": "10.9.9.9:80",
    "ingress": "10.0.0.1:8172",
}


def parse(model=RelayBalancerSettings, **changes):
    return parse_relay_settings(json.dumps(SHARED | changes), model, name="file")


def test_settings_are_read_and_unknown_fields_ignored():
    settings = parse(colour="blue")

    assert (settings.client_port, settings.inner_port) == (8172, 7720)


def test_comments_are_allowed(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("// A balancer.\n" + json.dumps(SHARED))

    assert load_relay_settings(str(path), RelayBalancerSettings).id == "balancer-1"


@pytest.mark.parametrize(
    "change",
    [
        {"host": "balancer.example"},
        {"host": 7},
        {"ready": "10.0.0.1"},
        {"ready": "10.0.0.1:0"},
        {"ready": "10.0.0.1:99999"},
        {"inner_ports": [7735, 7720]},
        {"inner_ports": [7720]},
        {"inner_ports": "7720,7735"},
        {"first_peers": ["nobody"]},
        {"first_start": "yes"},
        {"flow_seconds": "60"},
        {"log_delay_seconds": -1},
        {"ingress": ""},
    ],
)
def test_a_bad_value_is_refused_with_a_remedy(change):
    with pytest.raises(RelaySettingsError, match=r"file: .*docs/operations"):
        parse(**change)


def test_a_negative_evacuation_time_is_refused():
    fields = {
        "service": "desk",
        "upstream": "10.0.0.1:9000",
        "outbound": "10.0.0.1:8162",
        "evacuation_milliseconds": -1,
    }
    with pytest.raises(RelaySettingsError, match="evacuation_milliseconds"):
        parse(model=RelayAgentSettings, **fields)


def test_a_missing_field_is_named():
    with pytest.raises(RelaySettingsError, match="upstream|outbound|service"):
        parse(model=RelayAgentSettings)


@pytest.mark.parametrize("text", ["", "[", "[]", "7", "\x00"])
def test_a_text_that_is_no_object_is_refused(text):
    with pytest.raises(RelaySettingsError):
        parse_relay_settings(text, RelayBalancerSettings, name="file")


def test_a_missing_file_is_refused(tmp_path):
    with pytest.raises(RelaySettingsError, match="readable"):
        load_relay_settings(str(tmp_path / "none"), RelayBalancerSettings)


def test_a_reloaded_flow_time_and_grace_period_are_used_at_once():
    network = Network(hosts=1)
    (client,) = network.open_clients(1)
    (agent,) = network.agents.values()
    (flow,) = agent.flows.entries.values()
    now = network.clock.now() + 5.0
    assert not agent.is_expired(flow, now)

    agent.runtime.settings = replace(
        agent.runtime.settings, flow_seconds=4.0, grace_seconds=0.0
    )

    assert agent.is_expired(flow, now)
    assert agent.upstream.knows_every_flow(now=now)


async def test_a_reloaded_grace_period_bounds_the_next_drain():
    network = Network(hosts=1)
    ask_all(network, network.open_clients(1), balancer="10.0.0.1")
    (agent,) = network.agents.values()
    agent.runtime.settings = replace(agent.runtime.settings, grace_seconds=1.0)
    began = network.clock.now()

    async def sleep(seconds):
        network.clock.run(seconds)

    agent.runtime.sleep = sleep
    await agent.drain()

    assert network.clock.now() - began < 1.5


AGENT = SHARED | {
    "service": "desk",
    "upstream": "10.0.0.1:9000",
    "outbound": "10.0.0.1:8162",
}


def test_a_deployment_without_bounds_for_cold_hosts_gives_them_no_slack():
    settings = parse_relay_settings(json.dumps(AGENT), RelayAgentSettings, name="file")

    assert (settings.cold_rate_factor, settings.cold_rate_slack) == (1.0, 0.0)


@pytest.mark.parametrize(
    ("field", "value"), [("cold_rate_factor", 0), ("cold_rate_slack", -1)]
)
def test_an_unusable_limit_for_cold_hosts_is_named(field, value):
    text = json.dumps(AGENT | {field: value})

    with pytest.raises(RelaySettingsError, match=field):
        parse_relay_settings(text, RelayAgentSettings, name="file")
