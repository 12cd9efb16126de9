"""The operators' page lists every setting and every counter."""

import re
from pathlib import Path

from heatheryoke.core.requests import RefusalReason
from heatheryoke.daemons.settings import SETTINGS
from heatheryoke.wire.envelope import BadEnvelope

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
COUNTER_NAME = re.compile(r'[Cc]ount\(\s*"([a-z_]+)"')


def counter_names():
    """Return the names of all counters in the source."""
    names = {"faults", "flows_opened", "flows_readopted"}
    for path in (ROOT / "src" / "heatheryoke").rglob("*.py"):
        names.update(COUNTER_NAME.findall(path.read_text(encoding="utf-8")))
    names.update(f"refused_{reason.name.lower()}" for reason in RefusalReason)
    names.update(f"bad_datagrams_{bad.value}" for bad in BadEnvelope)
    return sorted(names)


class TestOperationsPage:
    def test_has_every_setting_as_the_code_has_it(self):
        for setting in SETTINGS:
            roles = "both" if len(setting.roles) == 2 else setting.roles[0].value
            default = "required" if setting.default is None else setting.default or "empty"
            line = f"| {setting.section} | {setting.key} | {roles} | {default} | {setting.help} |"
            assert line in PAGE, line

    def test_has_every_counter(self):
        missing = [name for name in counter_names() if f"`{name}`" not in PAGE]
        assert missing == []
