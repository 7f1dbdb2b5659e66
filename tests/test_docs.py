import re
from pathlib import Path

import pytest

from mangoramp.cli import EXIT_CODES
from mangoramp.errors import HTTP_STATUS, Code
from mangoramp.events import CATALOGUE
from mangoramp.operators.output import ExitCode
from mangoramp.policy.table import NUMBERS

DOCS = Path(__file__).parent.parent / "docs"
LINK = re.compile(r"\]\(([^)#:]+)\)")


class TestDocs:
    def test_callers_page_has_each_code_and_status(self):
        page = (DOCS / "CALLERS.md").read_text()
        rows = re.findall(r"^\| `(\w+)` \| (\d{3}) \|", page, re.MULTILINE)
        assert {(code, int(status)) for code, status in rows} == {
            (code.value, HTTP_STATUS[code]) for code in Code
        }
        assert len(rows) == len(Code)

    def test_operating_page_has_each_column_and_exit_code(self):
        page = (DOCS / "OPERATIONS.md").read_text()
        for column in NUMBERS:
            assert f"| `{column.name}` | {column.low:g} to {column.high:.10g} |" in page
        for code in ExitCode:
            assert f"| {code.value} |" in page
            assert f"{code.value} " in EXIT_CODES

    def test_events_have_numbers_of_their_own(self):
        numbers = [event.number for event in CATALOGUE]
        assert len(set(numbers)) == len(numbers)

    @pytest.mark.parametrize(
        "page",
        [*DOCS.rglob("*.md"), *DOCS.parent.glob("*.md"), *DOCS.parent.glob("ex*/*.md")],
        ids=lambda path: path.name,
    )
    def test_links_resolve(self, page):
        for target in LINK.findall(page.read_text()):
            assert (page.parent / target).exists(), target
