"""Scores of the users' deployments, read from the bench's journal, and a chart of them."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

__all__ = ["Round", "read_rounds", "write_rounds"]

SCORE = "score"


class Round(NamedTuple):
    """One scoring of a deployment: scores by day, and the days with broken rules or faults."""

    deployment: str
    at: str
    why: str
    scores: dict[str, float]
    broken: tuple[str, ...]

    @property
    def mean(self) -> float:
        """The mean score of the standard days."""
        return sum(self.scores.values()) / len(self.scores)


def read_rounds(journal: Path) -> tuple[list[Round], list[str]]:
    """Return the rounds in a journal ordered by time, and the unreadable entries."""
    rounds, problems = [], []
    for path in sorted(journal.glob("*.json")):
        try:
            entry = json.loads(path.read_text(encoding="utf-8"))
            if entry["cmd"] == SCORE and entry["days"]:
                rounds.append(_round(entry))
        except (OSError, ValueError, LookupError, TypeError) as error:
            problems.append(f"{path.name}: {error!r}")
    return sorted(rounds, key=lambda round_: round_.at), problems


def _round(entry: dict) -> Round:
    days = [day for day in entry["days"] if day["slot"] != "fresh"]
    return Round(
        str(entry["site"]),
        str(entry["at"][0]),
        str(entry["why"]),
        {str(day["name"]): float(day["G"]) for day in days if day["G"] is not None},
        tuple(str(day["name"]) for day in days if day["rules"] or day["fault"]),
    )


def write_rounds(rounds: Iterable[Round], folder: Path) -> Path:
    """Write `rounds.html`, a chart per deployment, and return its path; requires extra `report`."""
    import plotly.graph_objects as graphs

    folder.mkdir(parents=True, exist_ok=True)
    rounds = list(rounds)
    parts = ["<h1>Scores of the standard days by round</h1>"]
    parts.append("<p>Hollow markers: a rule was broken on that day, so it counts for nothing.</p>")
    for deployment in sorted({round_.deployment for round_ in rounds}):
        deployment_rounds = [round_ for round_ in rounds if round_.deployment == deployment]
        figure = graphs.Figure(layout={"title": deployment, "height": 480})
        for day in sorted({name for round_ in deployment_rounds for name in round_.scores}):
            day_rounds = [round_ for round_ in deployment_rounds if day in round_.scores]
            symbols = ["circle-open" if day in round_.broken else "circle" for round_ in day_rounds]
            figure.add_scatter(
                x=[round_.at for round_ in day_rounds],
                y=[round_.scores[day] for round_ in day_rounds],
                text=[round_.why for round_ in day_rounds],
                name=day,
                mode="lines+markers",
                marker={"symbol": symbols},
            )
        parts.append(figure.to_html(full_html=False, include_plotlyjs=not parts[2:]))
    path = folder / "rounds.html"
    path.write_text("\n".join(parts), encoding="utf-8")
    return path
