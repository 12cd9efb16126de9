"""Log lines are JSON, rate-limited, and never block the process."""

import json
import os

from heatheryoke.daemons.json_log import BURST_LINES, JsonLog


class TestJsonLog:
    def read_lines(self, reader):
        os.set_blocking(reader, False)
        return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]

    def test_rate_limited_lines_are_left_out_and_counted(self):
        reader, writer = os.pipe()
        log = JsonLog("a", writer)
        for _ in range(int(BURST_LINES) + 50):
            log.write("placed", rate_limited=True)
        log.write("change", subject="view")
        entries = self.read_lines(reader)
        assert len(entries) <= BURST_LINES + 3
        assert entries[-1]["event"] == "change" and entries[-1]["left_out"] >= 45

    def test_a_reader_that_does_not_read_does_not_block_the_process(self):
        _reader, writer = os.pipe()
        log = JsonLog("a", writer)
        for _ in range(5_000):
            log.write("change", reason="x" * 200)
        assert log.left_out > 0
