"""Write the report of a measurement: JSON lines, plots and an HTML page."""

import html
import json
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from statistics import mean
from typing import Any, Final

import matplotlib

from bench.run import Outcome

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

COLUMNS: Final = (
    "scenario",
    "variant",
    "runs",
    "good/s",
    "spread",
    "good share",
    "useful share",
    "late",
    "refused",
    "first token p95 ms",
    "refused after p99 ms",
    "role changes",
    "engine-seconds away",
    "wasted tokens",
    "recovery s",
)


def write_report(name: str, outcomes: Sequence[Outcome], folder: Path) -> Path:
    """Write the JSON lines, the plots and the HTML page; return the page's path."""
    write_lines(outcomes, folder / f"{name}.jsonl")
    groups = group_runs(outcomes)
    rows = [summarise(runs) for runs in groups.values()]
    images = [plot_scenario(s, groups, folder) for s in sorted({s for s, _ in groups})]
    page = folder / f"{name}.html"
    page.write_text(make_page(name, rows, images, outcomes))
    return page


def write_lines(outcomes: Sequence[Outcome], path: Path) -> None:
    """Write one JSON line for each run."""
    lines = [
        json.dumps({**o.figures, "classes": o.classes, "series": o.series})
        for o in outcomes
    ]
    path.write_text("\n".join(lines) + "\n")


def group_runs(outcomes: Sequence[Outcome]) -> dict[tuple[str, str], list[Outcome]]:
    """Group the runs that count by scenario and variant."""
    groups: dict[tuple[str, str], list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.figures["counts"]:
            key = outcome.figures["scenario"], outcome.figures["variant"]
            groups[key].append(outcome)
    return groups


def summarise(runs: Sequence[Outcome]) -> dict[str, Any]:
    """Aggregate the runs of one scenario and variant into a table row."""
    whole = [run.classes["all"] for run in runs]
    rates = [item["good_per_second"] for item in whole]
    figures = [run.figures for run in runs]
    recovery = [item["recovery_seconds"] for item in figures if is_recovery(item)]
    return dict(
        zip(
            COLUMNS,
            (
                figures[0]["scenario"],
                figures[0]["variant"],
                len(runs),
                round(mean(rates), 1),
                f"{min(rates)} to {max(rates)}",
                round(mean(item["good_share"] for item in whole), 3),
                round(mean(item["useful_share"] for item in figures), 3),
                round(mean(item["late"] for item in whole), 1),
                round(mean(item["refused"] for item in whole), 1),
                average(item["first_token_ms"]["p95"] for item in whole),
                average(item["refused_after_ms"]["p99"] for item in whole),
                round(mean(item["role_changes"] for item in figures), 1),
                round(mean(item["engine_seconds_away"] for item in figures), 1),
                round(mean(item["wasted_tokens"] for item in figures)),
                ", ".join(map(str, recovery)),
            ),
            strict=True,
        )
    )


def is_recovery(figures: dict[str, Any]) -> bool:
    """Return whether a run has a recovery time, because it had a fault."""
    return "recovery_seconds" in figures


def average(values: Any) -> float | None:
    """Return the average of the values that are not None, or None."""
    known = [value for value in values if value is not None]
    return round(mean(known), 1) if known else None


def plot_scenario(
    scenario: str, groups: dict[tuple[str, str], list[Outcome]], folder: Path
) -> str:
    """Plot the goodput of a scenario's variants over time; return the file name."""
    figure, axes = pyplot.subplots(figsize=(9, 3.5))
    sent: list[int] = []
    for (name, variant), runs in groups.items():
        if name != scenario:
            continue
        seconds = zip(*(run.series for run in runs), strict=True)
        points = [mean(good for _, good in second) for second in seconds]
        axes.plot(points, label=variant)
        sent = [count for count, _ in runs[0].series]
    axes.plot(sent, color="0.7", linestyle=":", label="sent")
    axes.set_xlabel("second of sending")
    axes.set_ylabel("good answers a second")
    axes.set_title(scenario)
    axes.legend()
    figure.tight_layout()
    image = f"{scenario}.png"
    figure.savefig(folder / image, dpi=110)
    pyplot.close(figure)
    return image


def make_page(
    name: str,
    rows: Sequence[dict[str, Any]],
    images: Sequence[str],
    outcomes: Sequence[Outcome],
) -> str:
    """Build the HTML page."""
    head = "".join(f"<th>{html.escape(column)}</th>" for column in COLUMNS)
    body = "".join(map(make_row, rows))
    plots = "".join(f'<img src="{html.escape(image)}">' for image in images)
    excluded = [o.figures for o in outcomes if not o.figures["counts"]]
    items = "".join(
        f"<li>{html.escape(json.dumps(describe_excluded(figures)))}</li>"
        for figures in excluded
    )
    return (
        f"<!doctype html><meta charset=utf-8><title>{name}</title>"
        f"<h1>{name}</h1><table border=1><tr>{head}</tr>{body}</table>{plots}"
        f"<h2>Runs that do not count</h2><ul>{items}</ul>\n"
    )


def make_row(row: dict[str, Any]) -> str:
    """Build a row of the HTML table."""
    cells = (row[column] for column in COLUMNS)
    texts = ("" if cell is None else html.escape(str(cell)) for cell in cells)
    return "<tr>" + "".join(f"<td>{text}</td>" for text in texts) + "</tr>"


def describe_excluded(figures: dict[str, Any]) -> dict[str, Any]:
    """Identify a run that does not count, with the reasons."""
    return {key: figures[key] for key in ("scenario", "variant", "seed", "why_not")}
