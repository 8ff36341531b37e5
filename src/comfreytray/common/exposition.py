"""Metrics of a node in the Prometheus text exposition format."""

import re
from collections.abc import Iterator

from comfreytray.common.metrics import PERCENTILES, Metrics

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "comfreytray_"
MICROSECONDS_PER_S = 1e6
PERCENT = 100.0

_INVALID_CHARACTER = re.compile(r"[^a-zA-Z0-9_]")


def text(metrics: Metrics) -> str:
    """Return counters, gauges and the quantiles of durations, in seconds."""
    return "\n".join(_lines(metrics)) + "\n"


def _metric_name(name: str) -> str:
    return PREFIX + _INVALID_CHARACTER.sub("_", name)


def _lines(metrics: Metrics) -> Iterator[str]:
    for name, count in sorted(metrics.count_by_name.items()):
        yield f"# TYPE {_metric_name(name)}_total counter"
        yield f"{_metric_name(name)}_total {count}"
    for name, value in sorted(metrics.gauge_by_name.items()):
        yield f"# TYPE {_metric_name(name)} gauge"
        yield f"{_metric_name(name)} {value:g}"
    for name, histogram in sorted(metrics.histogram_by_name.items()):
        yield f"# TYPE {_metric_name(name)}_seconds summary"
        for percentile in PERCENTILES:
            value_s = histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_S
            quantile = percentile / PERCENT
            yield f'{_metric_name(name)}_seconds{{quantile="{quantile:g}"}} {value_s:g}'
        yield f"{_metric_name(name)}_seconds_count {histogram.get_total_count()}"
