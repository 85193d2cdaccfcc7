import pytest
from attrs import frozen

from daisygauge_records import (
    Endpoint,
    Role,
    SettingsError,
    load_settings,
    parse_settings,
)


@frozen(kw_only=True)
class Settings:
    role: Role
    inner: Endpoint
    platform: tuple[str, ...] = ()
    outer_host: str | None = None


VALID = """
// settings of an agent
{
  "role": "agent",
  "inner": {"host": "10.0.0.1", "port": 7000},
  "platform": ["http://10.0.0.9:8500"], /* one server */
}
"""


def test_settings_files_may_contain_comments(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(VALID)

    settings = load_settings(path, Settings)

    assert settings == Settings(
        role=Role.AGENT,
        inner=Endpoint(host="10.0.0.1", port=7000),
        platform=("http://10.0.0.9:8500",),
    )


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ('"role"', '"roll"', "roll"),
        ('"agent"', '"agnet"', "role"),
        ("7000", '"7000"', "inner.port"),
        ('["http://10.0.0.9:8500"]', '["x", 1]', "platform[1]"),
        ('"agent",', '"agent", "outer_host": 5,', "outer_host"),
        ("{", "{,", "$"),
        ('"role"', '"inner": 1, "role"', "$"),
    ],
)
def test_an_invalid_setting_is_reported_with_its_path(old, new, path):
    with pytest.raises(SettingsError) as caught:
        parse_settings(VALID.replace(old, new, 1), Settings, name="a.json")

    assert path in {problem.path for problem in caught.value.problems}
    assert str(caught.value).startswith("a.json: ")


def test_the_error_for_a_missing_file_names_it(tmp_path):
    with pytest.raises(SettingsError, match="nowhere.json"):
        load_settings(tmp_path / "nowhere.json", Settings)
