"""Counters, gauges and histograms of a node."""

from attrs import define, field
from hdrh.histogram import HdrHistogram

MAX_DURATION_US = 60_000_000
"""Longer durations are recorded as this many microseconds."""
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 99.0, 99.9)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)


@define(kw_only=True)
class Metrics:
    """The metrics that a node reports."""

    count_by_name: dict[str, int] = field(factory=dict)
    gauge_by_name: dict[str, float] = field(factory=dict)
    bytes_by_flow: dict[tuple[str, str, str], int] = field(factory=dict)
    """By purpose, sending region and receiving region."""
    histogram_by_name: dict[str, HdrHistogram] = field(factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.count_by_name[name] = self.count_by_name.get(name, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauge_by_name[name] = value

    def add_bytes(self, purpose: str, source: str, target: str, size: int) -> None:
        """Count bytes on the wire by purpose and pair of regions."""
        flow = (purpose, source, target)
        self.bytes_by_flow[flow] = self.bytes_by_flow.get(flow, 0) + size

    def record_duration(self, name: str, seconds: float) -> None:
        """Add a duration to its histogram."""
        histogram = self.histogram_by_name.get(name)
        if histogram is None:
            histogram = self.histogram_by_name[name] = _histogram()
        histogram.record_value(max(1, min(int(seconds * 1e6), MAX_DURATION_US)))

    def report(self) -> dict[str, object]:
        """Return all metrics as JSON-ready types; durations are in microseconds."""
        return {
            "counters": dict(sorted(self.count_by_name.items())),
            "gauges": dict(sorted(self.gauge_by_name.items())),
            "bytes": [
                {"purpose": purpose, "from": source, "to": target, "bytes": size}
                for (purpose, source, target), size in sorted(
                    self.bytes_by_flow.items()
                )
            ],
            "durations_us": {
                name: {
                    "count": histogram.get_total_count(),
                    **{
                        f"p{percentile:g}": histogram.get_value_at_percentile(
                            percentile
                        )
                        for percentile in PERCENTILES
                    },
                }
                for name, histogram in sorted(self.histogram_by_name.items())
            },
        }
