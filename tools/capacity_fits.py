"""Linear fits through measured points, and their residuals."""

import dataclasses
import statistics


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fit:
    """``value = intercept + slope * size``.

    :param name: the measured quantity and the role that it belongs to.
    :param unit: of the value.
    :param per: what the size counts, for example "replica".
    :param points: size and value of each measurement.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float

    @property
    def residual(self) -> float:
        """Largest deviation from the line, relative to the largest value."""
        largest = max(abs(value) for _, value in self.points) or 1.0
        return max(
            abs(value - self.at(size)) / largest for size, value in self.points
        )

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size

    def as_line(self) -> dict[str, object]:
        """Return the fields of its JSON line."""
        return {
            'fit': self.name,
            'unit': self.unit,
            'per': self.per,
            'points': [
                [_rounded(size), _rounded(value)]
                for size, value in self.points
            ],
            'slope': _rounded(self.slope),
            'intercept': _rounded(self.intercept),
            'residual': round(self.residual, 3),
        }


def fit(
    name: str, *, unit: str, per: str, points: list[tuple[float, float]]
) -> Fit:
    """Return the least-squares line through at least two points."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    return Fit(
        name=name,
        unit=unit,
        per=per,
        points=tuple(points),
        slope=slope,
        intercept=intercept,
    )


def _rounded(value: float) -> float:
    return float(f'{value:.4g}')
