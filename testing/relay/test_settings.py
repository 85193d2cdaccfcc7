import json

import pytest

from daisygauge_relay import (
    RelayAgentSettings,
    RelayBalancerSettings,
    RelaySettingsError,
    load_relay_settings,
    parse_relay_settings,
)

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
