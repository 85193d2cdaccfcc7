import json

import pytest
from hypothesis import given, settings, strategies as st

from daisygauge_records import (
    Endpoint,
    NoHandOff,
    RecordError,
    RendezvousPlacement,
    RequestClass,
    Service,
    parse_record,
    parse_record_value,
    unstructure,
)

SECRET = "5a" * 32
SERVICE = {"number": 1, "address": {"host": "10.0.0.1", "port": 443}}
UPSTREAM = {
    "service": "order-desk",
    "agent": {"host": "10.0.1.1", "port": 7000},
    "peer_port": 7001,
    "failure_domain": "erongo-1",
}


def make_record(kind, spec, *, schema_version=2, **changes):
    envelope = {"kind": kind, "id": "a", "schema_version": schema_version}
    return {**envelope, "revision": 1, "spec": spec, **changes}


def get_problems(value):
    with pytest.raises(RecordError) as caught:
        parse_record_value(value)
    return {problem.path: problem for problem in caught.value.problems}


def test_schema_2_is_parsed_into_the_effective_model():
    spec = {
        **SERVICE,
        "classes": [{"name": "feed", "method": "GET", "streaming": True}],
        "placement": {"type": "rendezvous", "pass_margin": None},
        "hand_off": {"type": "none"},
    }

    record = parse_record_value(make_record("service", spec))

    assert record.spec == Service(
        id="a",
        number=1,
        address=Endpoint(host="10.0.0.1", port=443),
        classes=(RequestClass(name="feed", method="GET", streaming=True),),
        placement=RendezvousPlacement(pass_margin=None),
        hand_off=NoHandOff(),
    )


@pytest.mark.parametrize(
    ("kind", "flat", "nested"),
    [
        (
            "service",
            {
                "number": 1,
                "host": "10.0.0.1",
                "port": 443,
                "classes": [{"name": "x", "match": "GET /feed", "deadline_ms": 1500.0}],
                "hand_off": False,
            },
            {
                **SERVICE,
                "classes": [
                    {
                        "name": "x",
                        "method": "GET",
                        "path_prefix": "/feed",
                        "deadline_seconds": 1.5,
                    }
                ],
                "hand_off": {"type": "none"},
            },
        ),
        (
            "upstream",
            {
                "service": "order-desk",
                "host": "10.0.1.1",
                "port": 7000,
                "peer_port": 7001,
                "failure_domain": "erongo-1",
            },
            UPSTREAM,
        ),
        (
            "key",
            {"number": 7, "secret": SECRET, "valid_from": 5, "valid_until": 9},
            {"number": 7, "secret": SECRET, "not_before": 5, "not_after": 9},
        ),
    ],
)
def test_schema_1_converts_into_the_same_model_as_schema_2(kind, flat, nested):
    first = parse_record_value(make_record(kind, flat, schema_version=1))
    second = parse_record_value(make_record(kind, nested))

    assert first.spec == second.spec


@pytest.mark.parametrize(
    ("kind", "spec", "path", "remedy"),
    [
        ("service", {**SERVICE, "numbre": 1}, "spec.numbre", "remove it"),
        ("service", {**SERVICE, "number": "1"}, "spec.number", "without quotes"),
        ("service", {**SERVICE, "number": True}, "spec.number", "whole number"),
        ("service", {**SERVICE, "number": 0}, "spec.number", "1 to 65535"),
        ("service", {**SERVICE, "id": "b"}, "spec.id", "beside kind"),
        ("service", {"number": 1}, "spec.address", "add it"),
        ("service", {**SERVICE, "classes": "x"}, "spec.classes", "list"),
        (
            "service",
            {**SERVICE, "classes": [{"name": "x", "worth": "3"}]},
            "spec.classes[0].worth",
            "without quotes",
        ),
        (
            "service",
            {**SERVICE, "placement": {"type": "magic"}},
            "spec.placement.type",
            "rendezvous",
        ),
        (
            "service",
            {**SERVICE, "address": {"host": "example.org", "port": 1}},
            "spec.address.host",
            "IPv4",
        ),
        ("upstream", {**UPSTREAM, "slots": 0}, "spec.slots", "at least 1"),
        ("key", {"number": 1, "secret": "5a" * 31}, "spec.secret", "32 random"),
        ("key", {"number": 1, "secret": "5a" * 33}, "spec.secret", "32 random"),
        (
            "key",
            {"number": 1, "secret": SECRET, "not_before": 9, "not_after": 9},
            "spec.not_after",
            "after not_before",
        ),
    ],
)
def test_an_invalid_field_is_reported_with_path_and_remedy(kind, spec, path, remedy):
    problems = get_problems(make_record(kind, spec))

    assert set(problems) == {path}
    assert remedy in problems[path].remedy


def test_problems_of_schema_1_name_the_fields_of_schema_1():
    spec = {"number": 1, "host": "x", "port": 443, "classes": [{"name": "x"}]}
    spec["classes"][0]["deadline_ms"] = -1

    problems = get_problems(make_record("service", spec, schema_version=1))

    assert set(problems) == {"spec.host", "spec.classes[0].deadline_ms"}


def test_all_problems_are_reported_at_once():
    problems = get_problems(make_record("service", {"number": "1", "other": 1}))

    assert set(problems) == {"spec.number", "spec.other", "spec.address"}


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"kind": "host"}, "kind"),
        ({"id": "../a"}, "id"),
        ({"schema_version": 3}, "schema_version"),
        ({"revision": 0}, "revision"),
        ({"extra": 1}, "extra"),
    ],
)
def test_an_invalid_envelope_is_refused(change, path):
    assert set(get_problems({**make_record("service", SERVICE), **change})) == {path}


def test_an_error_does_not_contain_an_invalid_secret():
    with pytest.raises(RecordError) as caught:
        parse_record_value(make_record("key", {"number": 1, "secret": "topsecret"}))

    assert "topsecret" not in str(caught.value)


def test_the_repr_of_a_record_does_not_contain_its_secret():
    record = parse_record_value(make_record("key", {"number": 1, "secret": SECRET}))

    assert SECRET not in repr(record)


def test_a_deleted_record_is_parsed_into_a_tombstone():
    record = parse_record_value(make_record("key", None, deleted=True))

    assert record.spec is None


def test_the_digest_depends_on_the_content_and_not_on_the_json_layout():
    value = make_record("key", {"number": 1, "secret": SECRET})
    shuffled = dict(reversed(value.items()))

    first = parse_record(json.dumps(value))
    second = parse_record(json.dumps(shuffled, indent=3))
    third = parse_record_value(make_record("key", {"number": 2, "secret": SECRET}))

    assert first.digest == second.digest != third.digest


def test_the_document_of_a_record_round_trips():
    record = parse_record_value(make_record("upstream", UPSTREAM))

    assert parse_record(record.document) == record


@pytest.mark.parametrize(
    ("kind", "spec"),
    [
        ("service", SERVICE),
        ("upstream", UPSTREAM),
        ("key", {"number": 1, "secret": SECRET}),
    ],
)
def test_an_unstructured_model_is_a_valid_spec_of_schema_2(kind, spec):
    record = parse_record_value(make_record(kind, spec))
    unstructured = unstructure(record.spec)
    del unstructured["id"]

    assert parse_record_value(make_record(kind, unstructured)).spec == record.spec


def test_a_number_of_more_than_64_bits_is_refused():
    spec = {"number": 1, "secret": SECRET, "not_after": 2**70}

    assert set(get_problems(make_record("key", spec))) == {"$"}


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*SERVICE, *UPSTREAM, "secret", "type", "name", "host"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@settings(derandomize=True, max_examples=300)
@given(
    kind=st.sampled_from(["service", "upstream", "key"]),
    schema_version=st.sampled_from([1, 2]),
    spec=JSON,
)
def test_arbitrary_json_raises_only_record_errors(kind, schema_version, spec):
    value = make_record(kind, spec, schema_version=schema_version)

    try:
        parse_record_value(value)
    except RecordError as error:
        assert error.problems


@settings(derandomize=True)
@given(document=st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_record_errors(document):
    with pytest.raises(RecordError):
        parse_record(document)
