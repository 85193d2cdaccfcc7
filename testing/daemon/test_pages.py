import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
LINK = re.compile(r"\]\((?!https?:)([^)#]+)")
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_every_link_of_a_page_leads_to_a_file(page):
    targets = LINK.findall(page.read_text())

    missing = [target for target in targets if not (page.parent / target).exists()]
    assert not missing
