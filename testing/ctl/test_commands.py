from pathlib import Path

import pytest

from daisygauge_ctl._commands import COMMANDS, describe_commands
from daisygauge_ctl._events import format_page
from daisygauge_ctl.main import run_command

DOCS = Path(__file__).parents[2] / "docs"


def test_help_names_every_command(capsys):
    code = run_command(["daisygaugectl", "--help"])

    output = capsys.readouterr().out
    assert code == 0
    assert all(f"  {name}: " in output for name in COMMANDS)


@pytest.mark.parametrize("name", COMMANDS)
def test_every_command_prints_its_help(name, capsys):
    code = run_command(["daisygaugectl", name, "--help"])

    assert code == 0
    assert f"usage: daisygaugectl {name}" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "remedy"),
    [
        ([], "usage"),
        (["restart"], "check"),
        (["events", "--colour"], "--help"),
        (["events", "all"], "only flags"),
        (["check"], "FILE"),
        (["check", "absent.json"], "absent.json"),
    ],
)
def test_misuse_gives_exit_code_2_and_names_a_remedy(arguments, remedy, capsys):
    code = run_command(["daisygaugectl", *arguments])

    output = capsys.readouterr()
    assert code == 2
    assert remedy in output.out + output.err


def test_the_events_page_matches_the_catalogue():
    assert (DOCS / "EVENTS.md").read_text() == format_page()


def test_event_numbers_and_names_are_unique(capsys):
    run_command(["daisygaugectl", "events"])

    lines = [line.split()[:2] for line in capsys.readouterr().out.splitlines()]
    numbers, names = zip(*lines, strict=True)
    assert len(set(numbers)) == len(numbers)
    assert len(set(names)) == len(names)


def test_the_commands_page_contains_their_help():
    page = (DOCS / "CLI.md").read_text()

    assert describe_commands() in page
    assert all(command.describe() in page for command in COMMANDS.values())
