"""The platform's names stay in its folder, which makes no routing decisions."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
PLATFORM_NAMES = re.compile(
    r"kv-(key|range|watch|txn|lease|keep)|op/config|/readyz|/instances/|deregister"
    r"|heartbeat_addr|heartbeat_ms|goal_ms|warmup_left_ms|stable_window|concurrency\""
    r"|ZINNIAHOOK_BOOT|internal_ports|grace_s|current_rev|Request-Id",
)
MAX_LINES = 1200


def sources(folder):
    return [path for path in folder.rglob("*.py") if "/tests/" not in str(path)]


class TestPlatformFolder:
    def test_nothing_outside_knows_its_names(self):
        found = [
            f"{path.relative_to(ROOT)}: {match[0]}"
            for path in sources(ROOT / "packages")
            if (match := PLATFORM_NAMES.search(path.read_text()))
        ]
        assert found == []

    def test_it_stays_small(self):
        lines = sum(
            len(path.read_text().splitlines()) for path in sources(ROOT / "platform")
        )
        assert lines <= MAX_LINES

    def test_it_sends_no_packet(self):
        """Only the product may choose where packets go."""
        for path in sources(ROOT / "platform"):
            assert "sendto" not in path.read_text()
            assert "to_peer" not in path.read_text()
