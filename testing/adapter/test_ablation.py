"""The ablation's edits fit the sources; its table shows changes and broken rules."""

import shutil
from pathlib import Path

import pytest
from ablation import Outcome, format_table
from mechanisms import MECHANISMS

from daisygauge_emulator.edits import Edit, StaleEditError

PACKAGES = Path(__file__).parents[2] / "packages"


@pytest.mark.parametrize("mechanism", MECHANISMS, ids=lambda m: m.name)
def test_each_mechanism_can_be_switched_off(mechanism, tmp_path):
    for edit in mechanism.edits:
        source = tmp_path / edit.file
        source.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(PACKAGES / edit.file, source)
        edit.apply(tmp_path)

        assert source.read_text() != (PACKAGES / edit.file).read_text()
        compile(source.read_text(), edit.file, "exec")


def test_an_edit_whose_text_is_gone_names_file_and_remedy(tmp_path):
    (tmp_path / "a.py").write_text("x = 1\n")

    with pytest.raises(StaleEditError, match=r"a\.py .* update the edit: y = 2"):
        Edit(file="a.py", old="y = 2", new="").apply(tmp_path)


def test_the_table_shows_changes_against_everything_on():
    day = "sites/some-site.toml:trouble-1"
    rows = [
        [Outcome(mechanism="everything on", day=day, worth=0.75)],
        [Outcome(mechanism="hold", day=day, worth=0.7, broken=("FLOW",))],
        [Outcome(mechanism="pass", day=day, worth=None)],
    ]

    assert format_table(rows).splitlines() == [
        "| switched off | some-site trouble-1 |",
        "|---|---|",
        "| everything on | 0.750 |",
        "| hold | -0.050 FLOW |",
        "| pass | not played |",
    ]
