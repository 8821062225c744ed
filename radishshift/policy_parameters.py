"""Registry of the policy parameters that operators may set in the catalogue."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

__all__ = ["PolicyParameter", "parameter", "parameter_problems", "parameters"]


@dataclass(frozen=True, slots=True)
class PolicyParameter:
    """A number that a policy reads from the catalogue.

    Attributes
    ----------
    name : str
        Of the form `policy.parameter`, with a unit at the end where there is one.
    default, low, high : float
    meaning : str
        Description for operators.
    """

    name: str
    default: float
    low: float
    high: float
    meaning: str

    def of(self, values: Mapping[str, float]) -> float:
        """Return the value set in the catalogue, else the default."""
        return values.get(self.name, self.default)


_PARAMETERS: dict[str, PolicyParameter] = {}


def parameter(
    name: str, default: float, bounds: tuple[float, float], meaning: str
) -> PolicyParameter:
    """Register a parameter; the module of the policy calls this on import."""
    new = PolicyParameter(name, default, bounds[0], bounds[1], meaning)
    _PARAMETERS[name] = new
    return new


def parameters() -> list[PolicyParameter]:
    """Return all parameters, sorted by name."""
    return [_PARAMETERS[name] for name in sorted(_PARAMETERS)]


def parameter_problems(values: Mapping[str, float]) -> Iterator[str]:
    """Yield a message for each invalid parameter value of a catalogue."""
    for name, value in values.items():
        known = _PARAMETERS.get(name)
        if known is None:
            yield f"parameters.{name}: unknown policy parameter"
        elif not known.low <= value <= known.high:
            yield f"parameters.{name}: must be from {known.low:g} to {known.high:g}"
