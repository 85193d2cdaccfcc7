import subprocess
import sys

import pytest

PROGRAM = [sys.executable, "-c", "from daisygauge_daemon.main import run; run()"]


def run_daemon(*arguments):
    return subprocess.run([*PROGRAM, *arguments], capture_output=True, text=True)


@pytest.mark.parametrize(
    ("arguments", "remedy"),
    [
        ([], "--settings=FILE"),
        (["--settings=absent.json"], "absent.json"),
        (["--setings=a"], "--help"),
        (["start"], "--settings=FILE"),
    ],
)
def test_misuse_ends_with_exit_code_2_and_a_remedy(arguments, remedy):
    result = run_daemon(*arguments)

    assert result.returncode == 2
    assert remedy in result.stderr


def test_help_explains_the_flags_and_exit_codes():
    result = run_daemon("--help")

    assert result.returncode == 0
    assert "--settings" in result.stdout
    assert "Exit codes" in result.stdout
