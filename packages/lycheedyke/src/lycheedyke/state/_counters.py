"""Event counters and latency histograms."""

from collections import Counter
from datetime import timedelta

from hdrh.histogram import HdrHistogram

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 2
MICROSECOND = timedelta(microseconds=1)


class Counters:
    """Named counters and latency histograms of one instance."""

    def __init__(self) -> None:
        """Initializes all counters at zero."""
        self.counts: Counter[str] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}

    def __repr__(self) -> str:
        """Returns the number of counters."""
        return f'<Counters of {len(self.counts)} names>'

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self.counts[name] += amount

    def record_latency(self, name: str, duration: timedelta) -> None:
        """Records a latency."""
        histogram = self._latencies.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_MICROSECONDS,
                MAX_MICROSECONDS,
                SIGNIFICANT_DIGITS,
            )
            self._latencies[name] = histogram
        histogram.record_value(max(1, duration // MICROSECOND))

    def latencies(self) -> dict[str, dict[str, float]]:
        """Returns the percentiles of each latency, in milliseconds."""
        return {
            name: {
                f'p{percent:g}': (
                    histogram.get_value_at_percentile(percent) / 1000
                )
                for percent in (50, 99, 99.9)
            }
            for name, histogram in self._latencies.items()
        }
