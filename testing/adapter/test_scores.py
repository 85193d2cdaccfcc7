"""The score comparison reports failed gates and figures below their baselines."""

import pytest
from report import BaselineScore, find_regressions, read_score

OUTPUT = """\
7 days, 2 at a time
score on the standard days of some-site (set 61bb699f): 0.604, +0.386 against snapshot c
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 15/0   0.57  0.947  0.998   0.000  0.000  windows 0.99
trouble-1               15/0   0.63  0.734  0.964   0.000  0.020  nines 0.57
trouble-2              195/0   0.70  0.708  0.958   0.000  0.026  worst windows 0.50
fresh-39f1              15/0   0.00 -0.100  0.987   0.000  0.001  BROKEN: FLOW 8
GATE passed
"""


def make_baseline(**changes):
    figures = {"score": 0.604, "trouble_worth": 0.721} | changes
    return BaselineScore(path="some/site.toml", **figures)


def test_a_score_is_parsed_with_its_days():
    score = read_score(OUTPUT)

    assert (score.site, score.score, score.gate_passed) == ("some-site", 0.604, True)
    assert score.worth["fresh-39f1"] == -0.1
    assert score.trouble_worth == pytest.approx(0.721)


def test_figures_within_the_tolerance_are_no_regression():
    assert find_regressions(read_score(OUTPUT), make_baseline(score=0.633)) == ()


@pytest.mark.parametrize(
    ("output", "changes", "expected"),
    [
        (OUTPUT, {"score": 0.64}, "score 0.604, baseline 0.640"),
        (
            OUTPUT,
            {"trouble_worth": 0.76},
            "worth of trouble days 0.721, baseline 0.760",
        ),
        (OUTPUT.replace("GATE passed", "GATE failed: x"), {}, "gate failed"),
    ],
)
def test_regressions_are_described(output, changes, expected):
    assert find_regressions(read_score(output), make_baseline(**changes)) == (expected,)


def test_an_output_without_a_score_is_refused():
    with pytest.raises(ValueError, match="no score"):
        read_score("7 days, 2 at a time\n")
