import re
from pathlib import Path

import pytest

from daisygauge_records import parse_record

RECORDS_PAGE = Path(__file__).parents[2] / "docs" / "RECORDS.md"
SECRET = "5a" * 32


def read_examples():
    text = RECORDS_PAGE.read_text(encoding="utf-8")
    examples = re.findall(r"```json\n(.*?)```", text, flags=re.DOTALL)
    return [example.replace("(64 hexadecimal digits)", SECRET) for example in examples]


@pytest.mark.parametrize("example", read_examples())
def test_the_examples_of_the_records_page_are_valid(example):
    assert parse_record(example).spec is not None
