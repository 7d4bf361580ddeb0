"""The documentation pages match the code."""

import re
import runpy
from pathlib import Path

import pytest
from zinniahook_core.codes import Code

DOCS = Path(__file__).parent.parent / "docs"
CODE_ROW = re.compile(r"^\| (\d+) \| `([A-Z_]+)` \| (.+) \| (.+) \|$", re.MULTILINE)
PAGES = runpy.run_path(str(DOCS / "pages.py"))["pages"]()


class TestResultCodes:
    def test_every_code_has_one_row(self):
        text = (DOCS / "result-codes.md").read_text()
        rows = [(int(row[1]), row[2]) for row in CODE_ROW.finditer(text)]
        assert rows == [(int(code), code.name) for code in Code]


class TestGeneratedPages:
    @pytest.mark.parametrize("path", PAGES, ids=lambda path: path.name)
    def test_is_what_the_models_say(self, path):
        assert path.read_text() == PAGES[path], "run python docs/pages.py"

    def test_every_setting_of_a_daemon_is_explained(self):
        text = PAGES[DOCS / "operators" / "settings.md"]
        rows = [line for line in text.splitlines() if line.startswith("| `")]
        assert all(line.split("|")[4].strip() for line in rows)


class TestLinks:
    @pytest.mark.parametrize(
        "page", sorted(DOCS.rglob("*.md")), ids=lambda path: path.name
    )
    def test_links_between_pages_lead_somewhere(self, page):
        links = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
        assert [link for link in links if not (page.parent / link).exists()] == []


class TestMetrics:
    def test_every_counter_of_the_page_is_in_the_code(self):
        sources = [
            path.read_text()
            for path in (DOCS.parent / "packages").glob("*/src/**/*.py")
        ]
        text = (DOCS / "operators" / "metrics.md").read_text()
        names = re.findall(r"^\| `([a-z_]+\.[a-z_]+)` \|", text, re.MULTILINE)
        assert len(names) > 30
        assert [
            name for name in names if not any(name in source for source in sources)
        ] == []
