"""Figures of a run from the records of its calls."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any, Final

from hdrh.histogram import HdrHistogram

from bench.load import Record

LOWEST_US: Final = 1
HIGHEST_US: Final = 600_000_000
DIGITS: Final = 3
PERCENTS: Final = (50, 95, 99)
REFUSED: Final = (429, 503)


def find_percentiles(
    seconds: Iterable[float], percents: Sequence[int] = PERCENTS
) -> dict[str, float | None]:
    """Find percentiles in milliseconds."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for value in seconds:
        histogram.record_value(max(LOWEST_US, int(value * 1e6)))
    if not histogram.get_total_count():
        return {f"p{percent}": None for percent in percents}
    return {
        f"p{percent}": round(histogram.get_value_at_percentile(percent) / 1000, 2)
        for percent in percents
    }


def is_refused(record: Record) -> bool:
    """Tell whether a call was refused with the word that it did not run."""
    return record.status in REFUSED and record.ran == "no"


def describe_class(records: Sequence[Record], seconds: float) -> dict[str, Any]:
    """Describe what became of the calls of one class."""
    good = sum(record.good for record in records)
    refused = [record for record in records if is_refused(record)]
    answered = [record for record in records if record.status == 200]
    return {
        "sent": len(records),
        "good": good,
        "good_per_second": round(good / seconds, 2),
        "good_share": round(good / len(records), 4) if records else None,
        "late": sum(r.whole and r.own and not r.good for r in records),
        "cut": sum(r.status == 200 and not r.whole for r in records),
        "wrong": sum(r.whole and not r.own for r in records),
        "refused": len(refused),
        "outcomes": dict(sorted(Counter(map(name_outcome, records)).items())),
        "retried": sum(record.tries > 1 for record in records),
        "first_token_ms": find_percentiles(
            r.first for r in answered if r.first is not None
        ),
        "gap_ms": find_percentiles(gap for r in answered for gap in r.gaps),
        "refused_after_ms": find_percentiles(
            (r.took for r in refused if r.tries == 1), (50, 99)
        ),
    }


def name_outcome(record: Record) -> str:
    """Name what became of a call."""
    if record.good:
        return "good"
    if not record.status:
        return "no answer"
    if record.code:
        ran = f", ran {record.ran}" if record.ran else ""
        return f"{record.status} {record.code}{ran}"
    if record.whole and record.own:
        return "late"
    return f"{record.status} not whole"


def describe_classes(
    records: Sequence[Record], seconds: float
) -> dict[str, dict[str, Any]]:
    """Describe each class of calls, and all of them together."""
    names = sorted({record.name for record in records})
    by_name = {name: [r for r in records if r.name == name] for name in names}
    described = {name: describe_class(part, seconds) for name, part in by_name.items()}
    return {**described, "all": describe_class(records, seconds)}


def find_series(
    records: Iterable[Record], seconds: float, width: float = 1.0
) -> list[tuple[int, int]]:
    """Count the calls sent and the good ones among them, by the time of sending."""
    sent: Counter[int] = Counter()
    good: Counter[int] = Counter()
    for record in records:
        place = int(record.at / width)
        sent[place] += 1
        good[place] += record.good
    return [(sent[place], good[place]) for place in range(int(seconds / width))]


def find_recovery(
    records: Sequence[Record],
    fault_at: float,
    until: float,
    share: float = 0.95,
    span: float = 2.0,
    step: float = 0.25,
) -> float | None:
    """Find the seconds from a fault to full goodput that lasts for a while.

    Full is the share of the calls sent in each later span that turned out good; none
    if that was not reached before the end.
    """
    begin = fault_at
    found = None
    while begin + span <= until:
        part = [r for r in records if begin <= r.at < begin + span]
        good = sum(record.good for record in part)
        if part and good >= share * len(part):
            found = begin if found is None else found
        else:
            found = None
        begin += step
    return round(found - fault_at, 2) if found is not None else None
