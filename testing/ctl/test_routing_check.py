"""The check names the faults of a platform's configuration; no input crashes it."""

import base64
import contextlib
import copy
import io
import json

import pytest
from hypothesis import HealthCheck, example, given, settings, strategies as st

from daisygauge_control import RoutingRecord
from daisygauge_ctl.main import run_command
from daisygauge_platform import read_configuration
from daisygauge_platform._entries import CONFIGURATION_KEY, decode_item

ROUTE = {
    "name": "checkout", "host": "198.18.0.1", "prefix": "/443/", "type": "safe",
    "timeoutMs": 1000, "targetLatencyMs": 500, "priority": 0, "service": "desk",
}  # fmt: skip
CONFIGURATION = {
    "version": 3,
    "routes": [ROUTE],
    "services": [{"name": "desk", "coldStartS": 2.0, "coldPerS": 4.0}],
    "limits": {"idleTimeoutMs": 15000},
}
SPLIT = [{"service": "desk", "weight": 90}, {"service": "press", "weight": 10}]
RECORD = {
    "kind": "service",
    "id": "order-desk",
    "schema_version": 2,
    "revision": 3,
    "spec": {"number": 1, "address": {"host": "127.40.2.1", "port": 4433}},
}
HOST = {
    "service": "desk", "address": "10.0.0.1:80", "zone": "a", "version": "v1",
    "capacity": 2, "state": "ready", "born": 17,
}  # fmt: skip


def with_route(**fields):
    return CONFIGURATION | {"routes": [ROUTE | fields]}


def without_service(**fields):
    route = {name: value for name, value in ROUTE.items() if name != "service"}
    return CONFIGURATION | {"routes": [route | fields]}


@pytest.fixture
def check(tmp_path, capsys):
    """Run the check on a value; return the exit code and its result."""

    def run(value, *, against=None, hosts=None):
        arguments = []
        for name, content in (("against", against), ("hosts", hosts)):
            if content is not None:
                path = tmp_path / f"{name}.json"
                path.write_text(json.dumps(content))
                arguments.append(f"--{name}={path}")
        path = tmp_path / "checked.json"
        path.write_text(json.dumps(value))
        code = run_command(
            ["daisygaugectl", "check", "--format=json", *arguments, str(path)]
        )
        return code, json.loads(capsys.readouterr().out)

    return run


def fields_of(result):
    return [(f["severity"], f["field"]) for f in result["findings"]]


def test_a_valid_configuration_has_no_findings(check):
    """A false finding would teach operators to ignore findings."""
    code, result = check(CONFIGURATION)

    assert (code, result["valid"], result["findings"]) == (0, 1, [])


@pytest.mark.parametrize(
    ("value", "field"),
    [
        (CONFIGURATION | {"version": "3"}, "version"),
        (CONFIGURATION | {"version": 0}, "version"),
        (CONFIGURATION | {"version": True}, "version"),
        (CONFIGURATION | {"routes": None}, "routes"),
        (CONFIGURATION | {"routes": ["checkout"]}, "routes[0]"),
        (with_route(prefix="443x"), "routes[0].prefix"),
        (with_route(timeoutMs=-1), "routes[0].timeoutMs"),
        (with_route(priority=0.5), "routes[0].priority"),
        (without_service(), "routes[0].service"),
        (
            without_service(weightedServices=[{"service": "desk"}]),
            "routes[0].weightedServices[0].weight",
        ),
        (without_service(weightedServices="desk"), "routes[0].weightedServices"),
        (CONFIGURATION | {"services": [{"coldStartS": 1}]}, "services[0].name"),
        (CONFIGURATION | {"limits": {"idleTimeoutMs": "x"}}, "limits.idleTimeoutMs"),
    ],
)
def test_an_error_names_the_field_and_the_remedy(check, value, field):
    code, result = check(value)

    assert code == 2
    assert fields_of(result) == [("error", field)]
    assert result["findings"][0]["remedy"]


def test_every_invalid_field_is_named_at_once(check):
    code, result = check(with_route(timeoutMs="x", host=4))

    assert code == 2
    assert {field for _, field in fields_of(result)} == {
        "routes[0].timeoutMs",
        "routes[0].host",
    }


@pytest.mark.parametrize(
    ("value", "field", "text"),
    [
        (
            CONFIGURATION | {"routes": [ROUTE, ROUTE | {"name": "till"}]},
            "routes[0]",
            "never matches",
        ),
        (with_route(host="checkout.example"), "routes[0].host", "matches no flow"),
        (with_route(prefix="/70000/"), "routes[0].prefix", "matches no flow"),
        (
            without_service(weightedServices=[{"service": "desk", "weight": 0}]),
            "routes[0].weightedServices",
            "every weight is 0",
        ),
        (with_route(weightedServices=SPLIT), "routes[0].service", "no effect"),
        (
            with_route(targetLatencyMs=1001),
            "routes[0].targetLatencyMs",
            "above the timeout of 1 s",
        ),
        (
            with_route(timeoutMs=16000),
            "limits.idleTimeoutMs",
            "below the timeout of 16 s",
        ),
        (
            CONFIGURATION | {"services": [{"name": "desk", "coldPerS": 4.0}]},
            "services[0].coldPerS",
            "without a cold time",
        ),
        (
            CONFIGURATION | {"services": [{"name": "dsk", "coldStartS": 4.0}]},
            "services[0]",
            "no route names",
        ),
        (CONFIGURATION | {"routes": [], "services": []}, "routes", "no route"),
    ],
)
def test_a_part_without_effect_or_in_contradiction_is_a_warning(
    check, value, field, text
):
    code, result = check(value)

    assert code == 1
    assert fields_of(result) == [("warning", field)]
    assert text in result["findings"][0]["message"]


def test_an_idle_limit_below_several_timeouts_is_named_once(check):
    routes = [ROUTE | {"prefix": f"/{n}/", "timeoutMs": 15_000 + n} for n in (1, 2)]

    _, result = check(CONFIGURATION | {"routes": routes})

    assert fields_of(result) == [("warning", "limits.idleTimeoutMs")]
    assert "at routes[1]" in result["findings"][0]["message"]


def test_a_misspelt_field_is_named(check):
    route = {n: v for n, v in ROUTE.items() if n != "timeoutMs"} | {"timeoutMS": 5}

    code, result = check(CONFIGURATION | {"routes": [route]})

    assert code == 1
    assert fields_of(result) == [("warning", "routes[0].timeoutMS")]
    assert "'timeoutMs'" in result["findings"][0]["remedy"]


def test_an_unknown_field_beside_the_known_one_is_accepted(check):
    """The platform's configuration may have fields that this check doesn't know."""
    assert check(with_route(timeoutMS=3, owner="shop"))[0] == 0


def test_a_cold_time_without_a_rate_is_no_contradiction(check):
    services = [{"name": "desk", "coldStartS": 2.0, "coldPerS": 0.0}]

    assert check(CONFIGURATION | {"services": services})[0] == 0


def test_a_service_without_hosts_is_named_when_the_hosts_are_given(check):
    split = without_service(weightedServices=SPLIT)

    code, result = check(split, hosts={"servers/h1": HOST})

    assert code == 1
    assert "'press' has no host" in result["findings"][0]["message"]
    assert check(CONFIGURATION, hosts={"servers/h1": HOST})[0] == 0


def test_an_entry_that_defines_no_host_is_named(check):
    code, result = check(
        CONFIGURATION, hosts={"servers/h1": HOST, "servers/h2": {"service": "desk"}}
    )

    assert code == 1
    assert fields_of(result) == [("warning", "'servers/h2'")]


def test_a_version_that_is_not_newer_is_a_warning(check):
    code, result = check(with_route(timeoutMs=900), against=CONFIGURATION)

    assert code == 1
    assert fields_of(result) == [("warning", "version")]
    assert "publish version 4" in result["findings"][0]["remedy"]


def test_the_configuration_in_force_against_itself_changes_nothing(check):
    code, result = check(CONFIGURATION, against=CONFIGURATION)

    assert code == 0
    assert "nothing changes" in result["changes"][-1]


def test_changes_are_described_in_words(check):
    split = without_service(weightedServices=SPLIT, timeoutMs=0)
    added = ROUTE | {"name": "till", "prefix": "/8443/"}
    new = split | {"version": 4, "limits": {}, "services": []}
    new["routes"] = [*split["routes"], added]

    code, result = check(new, against=CONFIGURATION)

    assert code == 0
    assert result["changes"][-1].splitlines()[1:] == [
        "version 3 becomes 4",
        "route 'checkout' (198.18.0.1:443): new flows go to 'desk' (90%), 'press' "
        "(10%), until now to 'desk'; open flows stay where they are",
        "route 'checkout' (198.18.0.1:443): clients give up never, until now after 1 s",
        "route 'till' (198.18.0.1:8443) is added: new flows go to 'desk'",
        "idle flows are forgotten never, until now after 15 s",
        "service 'desk': hosts have no limit after their start, until now hosts get 4 "
        "requests a second for 2 s after their start",
    ]


def test_a_removed_route_is_described(check):
    new = CONFIGURATION | {"version": 4, "routes": []}

    _, result = check(new, against=CONFIGURATION)

    assert "new flows are refused, open flows stay" in result["changes"][-1]


def test_json5_that_is_nested_too_deeply_is_misuse(tmp_path, capsys):
    path = tmp_path / "deep.json"
    path.write_text("[" * 5_000 + "]" * 5_000)

    assert run_command(["daisygaugectl", "check", str(path)]) == 2
    assert "deeply" in capsys.readouterr().err


TEXTS = st.sampled_from(["", "x", "443", "/443/", "\ud800", "\x1b[2J", "10.0.0.1"])
NUMBERS = st.sampled_from([0, 1, -1, 2.5, 1e300, 2**63, 2**70, float("nan"), 1e-300])
LEAVES = st.none() | st.booleans() | TEXTS | NUMBERS
VALUES = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=2) | st.dictionaries(TEXTS, inner, max_size=2)
    ),
    max_leaves=4,
)


def list_paths(value, path=()):
    """Yield the path of each value inside a document."""
    if path:
        yield path
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield from list_paths(inner, (*path, key))


@st.composite
def changed(draw, document):
    """Draw a document with some of its values replaced or removed."""
    document = copy.deepcopy(document)
    for _ in range(draw(st.integers(1, 3))):
        paths = list(list_paths(document))
        if not paths:
            break
        *parents, key = draw(st.sampled_from(paths))
        target = document
        for parent in parents:
            target = target[parent]
        if draw(st.booleans()):
            target[key] = draw(VALUES)
        else:
            del target[key]
    return document


SPLIT_CONFIGURATION = without_service(weightedServices=SPLIT)
CONFIGURATIONS = st.one_of(
    changed(CONFIGURATION), changed(SPLIT_CONFIGURATION), changed(with_route(prefix=1))
)


@given(CONFIGURATIONS)
@settings(deadline=None)
@example(CONFIGURATION)
def test_the_processes_accept_what_the_check_accepts(value):
    raw = base64.b64encode(json.dumps(value).encode()).decode()
    content = decode_item(
        {"key": CONFIGURATION_KEY, "revision": 1, "value": raw}
    ).content

    configuration = read_configuration(value)

    if configuration.problems:
        assert configuration.routing is None or configuration.routing == content
    else:
        assert isinstance(content, RoutingRecord)
        assert configuration.routing == content


@given(
    st.lists(
        CONFIGURATIONS | changed(RECORD) | changed([RECORD, RECORD]) | VALUES,
        min_size=3,
        max_size=3,
    ),
    st.sampled_from(["text", "json"]),
)
@settings(
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
    deadline=None,
)
def test_no_json_crashes_the_check(tmp_path, values, form):
    paths = [str(tmp_path / f"{n}.json") for n in range(3)]
    for path, value in zip(paths, values, strict=True):
        with open(path, "w") as file:
            json.dump(value, file)

    new, old, hosts = paths
    run_quietly(f"--format={form}", f"--against={old}", f"--hosts={hosts}", new)


@given(st.binary(max_size=60))
@settings(suppress_health_check=[HealthCheck.function_scoped_fixture], deadline=None)
def test_no_bytes_crash_the_check(tmp_path, data):
    path = tmp_path / "file.json"
    path.write_bytes(data)

    run_quietly(f"--against={path}", str(path))


def run_quietly(*arguments):
    """Run the check with a terminal that refuses what isn't valid UTF-8."""
    with (
        contextlib.redirect_stdout(io.TextIOWrapper(io.BytesIO(), encoding="utf-8")),
        contextlib.redirect_stderr(io.TextIOWrapper(io.BytesIO(), encoding="utf-8")),
    ):
        assert run_command(["daisygaugectl", "check", *arguments]) in (0, 1, 2)
