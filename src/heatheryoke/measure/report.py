"""An HTML report that plots and explains the figures of many runs."""

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from statistics import mean
from typing import NamedTuple

from heatheryoke.measure.figures import Figures
from heatheryoke.measure.scenarios import SCENARIOS

__all__ = ["write_report"]


class Chart(NamedTuple):
    """A figure that is plotted for each scenario and policy."""

    field: str
    title: str
    explanation: str


CHARTS = (
    Chart(
        "broken_flows",
        "Broken feeds",
        "How often a feed's flow moved to another upstream, ended, or was silent for 20 s. Feeds "
        "that moved or ended because their failure domain was withdrawn are not counted.",
    ),
    Chart(
        "imbalance",
        "Imbalance of work",
        "Requests run by the busiest upstream of the main service, divided by the mean; 1 is even.",
    ),
    Chart(
        "service_kept",
        "Service kept during a withdrawal",
        "Weight served while a failure domain was withdrawn, divided by the weight that the "
        "remaining slots could have served of the requests made in that time. Requests made before "
        "the withdrawal may raise it above 1.",
    ),
    Chart("doubled", "Requests run twice", "Ids of non-idempotent requests run more than once."),
    Chart("cold_overloads", "Cold upstreams overloaded", "How often a cold upstream failed."),
    Chart("cut_requests", "Requests cut", "Requests that ended without a known outcome."),
    Chart("mean_latency_s", "Mean time to an answer (s)", "From first transmission to the answer."),
    Chart("control_bytes_per_node_s", "Control traffic (B/s per process)", "Headers included."),
)


def write_report(runs: Iterable[Figures], folder: Path) -> Path:
    """Write `report.html` and return its path; requires the extra `report`."""
    import plotly.graph_objects as graphs

    runs = list(runs)
    folder.mkdir(parents=True, exist_ok=True)
    parts = [_heading(runs)]
    for deployment in sorted({run.deployment for run in runs}):
        parts.append(f"<h2>{deployment}</h2>")
        deployment_runs = [run for run in runs if run.deployment == deployment]
        for chart in CHARTS:
            figure = graphs.Figure(layout={"barmode": "group", "title": chart.title, "height": 380})
            for policy, values in _means(deployment_runs, chart.field).items():
                bars = graphs.Bar(name=policy, x=list(values), y=list(values.values()))
                figure.add_trace(bars)
            parts.append(f"<p>{chart.explanation}</p>")
            parts.append(figure.to_html(full_html=False, include_plotlyjs=len(parts) < 4))
    parts.append(_table(runs))
    path = folder / "report.html"
    style = "body{font-family:sans-serif;max-width:70em;margin:auto}td,th{padding:0 .5em}"
    page = "<!doctype html><meta charset='utf-8'><title>heatheryoke: measurements</title>"
    path.write_text(f"{page}<style>{style}</style>{''.join(parts)}", encoding="utf-8")
    return path


def _heading(runs: list[Figures]) -> str:
    seeds = ", ".join(str(seed) for seed in sorted({run.seed for run in runs}))
    items = "".join(
        f"<li><b>{name}</b>: {scenario.title}</li>"
        for name, scenario in SCENARIOS.items()
        if any(run.scenario == name for run in runs)
    )
    return f"<h1>heatheryoke: measurements</h1><p>Means over the seeds {seeds}.</p><ul>{items}</ul>"


def _means(runs: list[Figures], field: str) -> dict[str, dict[str, float]]:
    """Return the mean of a field by policy and scenario, without values that are None."""
    values: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for run in runs:
        value = getattr(run, field)
        if value is not None:
            values[run.policy][run.scenario].append(value)
    return {
        policy: {name: mean(samples) for name, samples in scenarios.items()}
        for policy, scenarios in values.items()
    }


def _table(runs: list[Figures]) -> str:
    head = "".join(f"<th>{field}</th>" for field in Figures._fields)
    body = "".join(
        "<tr>" + "".join(f"<td>{'' if value is None else value}</td>" for value in run) + "</tr>"
        for run in runs
    )
    return f"<h2>All runs</h2><div style='overflow:auto'><table>{head}{body}</table></div>"
