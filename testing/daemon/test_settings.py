import json

import pytest

from daisygauge_daemon._settings import AgentSettings, BalancerSettings
from daisygauge_daemon._settings_file import SettingsError, load_settings

COMMON = {
    "id": "b-1",
    "region": "erongo",
    "failure_domain": "erongo-1",
    "host": "127.40.1.1",
    "inner_port": 7000,
    "peer_port": 7001,
    "metrics_port": 7002,
    "platform": ["http://127.0.0.1:8500"],
}
BALANCER = {"role": "balancer", **COMMON}
AGENT = {
    "role": "agent",
    **COMMON,
    "service": "order-desk",
    "upstream": {"host": "127.40.1.2", "port": 8000},
    "tls": {"certificate": "c.pem", "private_key": "k.pem"},
}


@pytest.fixture
def load(tmp_path):
    def write_and_load(content):
        path = tmp_path / "settings.json"
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return load_settings(str(path))

    return write_and_load


def test_each_role_is_read_into_its_model(load):
    assert isinstance(load(BALANCER), BalancerSettings)
    assert isinstance(load(AGENT), AgentSettings)


def test_comments_are_allowed(load):
    text = json.dumps(BALANCER).replace("{", "{ // entry instance\n", 1)

    assert load(text).id == "b-1"


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"inner_prt": 1}, "inner_prt"),
        ({"inner_port": "7000"}, "inner_port"),
        ({"log": {"level": "loud"}}, "level"),
        ({"role": "proxy"}, "role"),
        ({"platform": "http://127.0.0.1:8500"}, "platform"),
        ({"inner_port": 70_000}, "inner_port"),
        ({"host": "balancer-1"}, "host"),
    ],
)
def test_an_unusable_field_is_named_with_a_remedy(load, change, named):
    with pytest.raises(SettingsError, match=named):
        load(BALANCER | change)


def test_a_missing_field_is_named(load):
    incomplete = {key: value for key, value in BALANCER.items() if key != "host"}

    with pytest.raises(SettingsError, match="host"):
        load(incomplete)


def test_a_missing_file_is_named():
    with pytest.raises(SettingsError, match="absent.json"):
        load_settings("absent.json")
