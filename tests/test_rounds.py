"""Reading rounds from the bench's journal, and the page made from them."""

import json

from heatheryoke.measure.rounds import read_rounds, write_rounds


def entry(at, score, **changes):
    day = {"name": "quiet-1", "G": score, "slot": "quiet", "rules": {}, "fault": None}
    fresh_day = {**day, "name": "fresh-1", "slot": "fresh", "G": 0.1}
    entry = {
        "cmd": "score",
        "site": "small",
        "at": [at, at],
        "why": "a try",
        "days": [day, fresh_day],
    }
    return {**entry, **changes}


class TestRounds:
    def write(self, folder, entries):
        for number, content in enumerate(entries):
            text = content if isinstance(content, str) else json.dumps(content)
            (folder / f"{number}.json").write_text(text)

    def test_scores_are_read_by_time_without_the_days_drawn_anew(self, tmp_path):
        self.write(tmp_path, [entry("2026-02", 0.9), entry("2026-01", 0.8), {"cmd": "hunt"}])
        rounds, problems = read_rounds(tmp_path)
        assert [scoring.scores for scoring in rounds] == [{"quiet-1": 0.8}, {"quiet-1": 0.9}]
        assert problems == []

    def test_an_entry_that_cannot_be_read_is_named(self, tmp_path):
        self.write(tmp_path, ["{", entry("2026-01", 0.8), {"why": "no command"}])
        rounds, problems = read_rounds(tmp_path)
        assert len(rounds) == 1
        assert [problem.split(":")[0] for problem in problems] == ["0.json", "2.json"]

    def test_the_page_has_a_chart_for_each_deployment(self, tmp_path):
        self.write(tmp_path, [entry("2026-01", 0.8), entry("2026-02", 0.9, site="large")])
        page = write_rounds(read_rounds(tmp_path)[0], tmp_path / "page").read_text()
        assert page.count('class="plotly-graph-div"') == 2
