"""Compute the figures of a run from the records of its calls."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any, Final

from hdrh.histogram import HdrHistogram

from bench.load import Record

MIN_US: Final = 1
MAX_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 3
PERCENTS: Final = (50, 95, 99)
REFUSAL_STATUSES: Final = (429, 503)


def find_percentiles(
    seconds: Iterable[float], percents: Sequence[int] = PERCENTS
) -> dict[str, float | None]:
    """Compute percentiles in milliseconds; None without values."""
    histogram = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(MIN_US, int(value * 1e6)))
    if not histogram.get_total_count():
        return {f"p{percent}": None for percent in percents}
    return {
        f"p{percent}": round(histogram.get_value_at_percentile(percent) / 1000, 2)
        for percent in percents
    }


def is_refused(record: Record) -> bool:
    """Return whether a call was refused and the answer says that it did not run."""
    return record.status in REFUSAL_STATUSES and record.ran == "no"


def describe_class(records: Sequence[Record], seconds: float) -> dict[str, Any]:
    """Compute the figures of one class of calls."""
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
    """Return the name of a call's outcome."""
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
    """Compute the figures of each class of calls and of all calls."""
    names = sorted({record.name for record in records})
    by_name = {name: [r for r in records if r.name == name] for name in names}
    described = {name: describe_class(part, seconds) for name, part in by_name.items()}
    return {**described, "all": describe_class(records, seconds)}


def find_series(
    records: Iterable[Record], seconds: float, width: float = 1.0
) -> list[tuple[int, int]]:
    """Count the calls and the good ones among them per interval of scheduled time."""
    sent: Counter[int] = Counter()
    good: Counter[int] = Counter()
    for record in records:
        bucket = int(record.at / width)
        sent[bucket] += 1
        good[bucket] += record.good
    return [(sent[bucket], good[bucket]) for bucket in range(int(seconds / width))]


def find_recovery(
    records: Sequence[Record],
    fault_at: float,
    until: float,
    share: float = 0.95,
    span: float = 2.0,
    step: float = 0.25,
) -> float | None:
    """Compute the seconds from a fault until full goodput that lasts to the end.

    Goodput is full if at least `share` of the calls sent in a window of `span` seconds
    are good; the window moves by `step`. Return None if goodput is not full at the end.
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
