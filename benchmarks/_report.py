"""Report lines of a benchmark: name, value, unit, target and verdict."""

import math

from attrs import define, field, frozen


@frozen(kw_only=True)
class Line:
    """A measured value with its target and whether the target was met."""

    name: str
    value: float
    unit: str
    target: str = "-"
    verdict: str = "-"

    def __str__(self) -> str:
        formatted = _format_number(self.value)
        return f"{self.name} {formatted} {self.unit} {self.target} {self.verdict}"


def _format_number(value: float) -> str:
    if not math.isfinite(value):
        return str(value)
    if value == int(value) and abs(value) < 1e12:
        return str(int(value))
    return f"{value:.4g}" if abs(value) < 1000 else f"{value:.0f}"


@define(kw_only=True)
class Report:
    """Print each line when it is added, and count the verdicts at the end."""

    lines: list[Line] = field(factory=list)

    def note(self, text: str) -> None:
        """Print a comment line."""
        print(f"# {text}", flush=True)

    def value(self, name: str, value: float, unit: str) -> None:
        """Add a value without a target."""
        self._add(Line(name=name, value=value, unit=unit))

    def at_most(self, name: str, value: float, unit: str, limit: float) -> None:
        """Add a value whose target is an upper limit."""
        self._add_with_target(
            name, value, unit, f"<={_format_number(limit)}", value <= limit
        )

    def at_least(self, name: str, value: float, unit: str, limit: float) -> None:
        """Add a value whose target is a lower limit."""
        self._add_with_target(
            name, value, unit, f">={_format_number(limit)}", value >= limit
        )

    def unresolved(self, name: str, value: float, unit: str, limit: float) -> None:
        """Add a value whose upper limit is smaller than the noise of the run."""
        self._add(
            Line(
                name=name,
                value=value,
                unit=unit,
                target=f"<={_format_number(limit)}",
                verdict="unresolved",
            )
        )

    def _add_with_target(
        self, name: str, value: float, unit: str, target: str, met: bool
    ) -> None:
        verdict = "met" if met else "missed"
        self._add(
            Line(name=name, value=value, unit=unit, target=target, verdict=verdict)
        )

    def _add(self, line: Line) -> None:
        self.lines.append(line)
        print(line, flush=True)

    def finish(self) -> None:
        """Print the number of targets met, missed and unresolved."""
        met = sum(line.verdict == "met" for line in self.lines)
        missed = sum(line.verdict == "missed" for line in self.lines)
        unresolved = sum(line.verdict == "unresolved" for line in self.lines)
        print(f"# {met} met, {missed} missed, {unresolved} unresolved", flush=True)


@frozen(kw_only=True)
class Fit:
    """A straight line fitted to measured points."""

    slope: float
    intercept: float
    residual: float
    """Root mean square distance of the points from the line."""
    exponent: float
    """Slope on log-log axes; above 1 a value grows faster than the fleet."""

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(points: list[tuple[float, float]]) -> Fit:
    """Fit a straight line by least squares."""
    slope, intercept = _least_squares(points)
    squares = [(y - intercept - slope * x) ** 2 for x, y in points]
    residual = math.sqrt(sum(squares) / len(points))
    logs = [(math.log(x), math.log(y)) for x, y in points if x > 0 and y > 0]
    exponent = _least_squares(logs)[0] if len(logs) > 1 else 0.0
    return Fit(slope=slope, intercept=intercept, residual=residual, exponent=exponent)


def _least_squares(points: list[tuple[float, float]]) -> tuple[float, float]:
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        return 0.0, mean_y
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile by the nearest-rank method, or NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    index = math.ceil(len(ordered) * percent / 100) - 1
    return ordered[max(0, min(index, len(ordered) - 1))]
