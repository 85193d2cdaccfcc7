import json

import pytest

from daisygauge_ctl.main import run_command

SERVICE = {
    "kind": "service",
    "id": "order-desk",
    "schema_version": 2,
    "revision": 3,
    "spec": {"number": 1, "address": {"host": "127.40.2.1", "port": 4433}},
}


@pytest.fixture
def write_json(tmp_path):
    def write_file(name, value):
        path = tmp_path / name
        path.write_text(json.dumps(value))
        return str(path)

    return write_file


def with_changes(record, **changes):
    return record | changes


def check(*arguments):
    return run_command(["daisygaugectl", "check", *arguments])


def test_a_valid_record_is_shown_with_its_defaults(write_json, capsys):
    code = check(write_json("a.json", SERVICE))

    output = capsys.readouterr().out
    assert code == 0
    assert "service/order-desk revision 3" in output
    assert '"retry_share": 0.1' in output


def test_a_problem_names_its_field(write_json, capsys):
    spec = SERVICE["spec"] | {"nmber": 4}

    code = check(write_json("a.json", [with_changes(SERVICE, spec=spec)]))

    assert code == 2
    assert "nmber" in capsys.readouterr().out


def test_a_change_is_shown_as_a_diff_to_the_record_in_force(write_json, capsys):
    spec = SERVICE["spec"] | {"retry_share": 0.2}
    new = with_changes(SERVICE, revision=4, spec=spec)

    code = check(
        f"--against={write_json('old.json', SERVICE)}", write_json("new.json", new)
    )

    output = capsys.readouterr().out
    assert code == 0
    assert '-  "retry_share": 0.1' in output
    assert '+  "retry_share": 0.2' in output


def test_a_revision_that_would_not_take_effect_is_a_problem(write_json, capsys):
    spec = SERVICE["spec"] | {"retry_share": 0.2}
    new = with_changes(SERVICE, spec=spec)

    code = check(
        f"--against={write_json('old.json', SERVICE)}", write_json("new.json", new)
    )

    assert code == 1
    assert "publish revision 4" in capsys.readouterr().out


@pytest.mark.parametrize("field", ["number", "address"])
def test_services_with_the_same_number_or_address_are_a_problem(
    write_json, capsys, field
):
    other = {"number": 2, "address": {"host": "127.40.2.1", "port": 4434}}
    other[field] = SERVICE["spec"][field]

    code = check(
        write_json("a.json", [SERVICE, with_changes(SERVICE, id="b", spec=other)])
    )

    assert code == 2
    assert field in capsys.readouterr().out
