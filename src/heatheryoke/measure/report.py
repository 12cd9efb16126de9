"""One HTML page with the figures of many runs, readable without the source."""

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from statistics import mean
from typing import NamedTuple

from heatheryoke.measure.figures import Figures
from heatheryoke.measure.scenarios import SCENARIOS

__all__ = ["write_report"]


class Chart(NamedTuple):
    """One figure to plot for each scenario and policy."""

    field: str
    title: str
    explanation: str


CHARTS = (
    Chart(
        "broken_flows",
        "Broken feeds",
        "How often a feed's flow moved to another upstream, ended, or fell silent for 20 s. What "
        "was given up because operators withdrew the failure domain is not counted.",
    ),
    Chart(
        "imbalance",
        "Imbalance of work",
        "Requests run by the busiest upstream of the main service, over the mean. 1 is even.",
    ),
    Chart(
        "service_kept",
        "Service kept during a withdrawal",
        "Weight served while a failure domain was withdrawn, over the most that the remaining "
        "slots could have served of what was asked. Requests asked before it may raise it above 1.",
    ),
    Chart("doubled", "Requests run twice", "Ids of non-idempotent requests run more than once."),
    Chart("cold_overloads", "Cold upstreams overloaded", "How often a cold upstream fell over."),
    Chart("cut_requests", "Requests cut", "Requests that ended without a known outcome."),
    Chart("mean_latency_s", "Mean time to an answer (s)", "From first sending to the answer."),
    Chart("control_bytes_per_node_s", "Control traffic (B/s per process)", "All messages sent."),
)


def write_report(rows: Iterable[Figures], folder: Path) -> Path:
    """Write `report.html` and return its path; needs the extra `report`."""
    import plotly.graph_objects as graphs

    rows = list(rows)
    folder.mkdir(parents=True, exist_ok=True)
    parts = [_heading(rows)]
    for deployment in sorted({row.deployment for row in rows}):
        parts.append(f"<h2>{deployment}</h2>")
        chosen = [row for row in rows if row.deployment == deployment]
        for chart in CHARTS:
            figure = graphs.Figure(layout={"barmode": "group", "title": chart.title, "height": 380})
            for policy, values in _means(chosen, chart.field).items():
                bars = graphs.Bar(name=policy, x=list(values), y=list(values.values()))
                figure.add_trace(bars)
            parts.append(f"<p>{chart.explanation}</p>")
            parts.append(figure.to_html(full_html=False, include_plotlyjs=len(parts) < 4))
    parts.append(_table(rows))
    path = folder / "report.html"
    style = "body{font-family:sans-serif;max-width:70em;margin:auto}td,th{padding:0 .5em}"
    page = "<!doctype html><meta charset='utf-8'><title>heatheryoke: measures</title>"
    path.write_text(f"{page}<style>{style}</style>{''.join(parts)}", encoding="utf-8")
    return path


def _heading(rows: list[Figures]) -> str:
    seeds = ", ".join(str(seed) for seed in sorted({row.seed for row in rows}))
    items = "".join(
        f"<li><b>{name}</b>: {scenario.title}</li>"
        for name, scenario in SCENARIOS.items()
        if any(row.scenario == name for row in rows)
    )
    return f"<h1>heatheryoke: measures</h1><p>Means over the seeds {seeds}.</p><ul>{items}</ul>"


def _means(rows: list[Figures], field: str) -> dict[str, dict[str, float]]:
    """Return the mean of a field by policy and scenario, where there is one."""
    values: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for row in rows:
        value = getattr(row, field)
        if value is not None:
            values[row.policy][row.scenario].append(value)
    return {
        policy: {name: mean(found) for name, found in scenarios.items()}
        for policy, scenarios in values.items()
    }


def _table(rows: list[Figures]) -> str:
    head = "".join(f"<th>{field}</th>" for field in Figures._fields)
    body = "".join(
        "<tr>" + "".join(f"<td>{'' if v is None else v}</td>" for v in row) + "</tr>"
        for row in rows
    )
    return f"<h2>Every run</h2><div style='overflow:auto'><table>{head}{body}</table></div>"
