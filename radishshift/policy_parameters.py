"""Parameters of policies that operators may set in the catalogue."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

__all__ = ["PolicyParameter", "parameter", "parameter_problems", "parameters"]


@dataclass(frozen=True, slots=True)
class PolicyParameter:
    """A number that a policy reads from the catalogue.

    Attributes
    ----------
    name : str
        `policy.parameter`; a unit ends it.
    default, least, most : float
    meaning : str
        For operators.
    """

    name: str
    default: float
    least: float
    most: float
    meaning: str

    def of(self, values: Mapping[str, float]) -> float:
        """Return the value that the catalogue sets, or the default."""
        return values.get(self.name, self.default)


_PARAMETERS: dict[str, PolicyParameter] = {}


def parameter(
    name: str, default: float, bounds: tuple[float, float], meaning: str
) -> PolicyParameter:
    """Register a parameter; the module of its policy calls this once."""
    found = PolicyParameter(name, default, bounds[0], bounds[1], meaning)
    _PARAMETERS[name] = found
    return found


def parameters() -> list[PolicyParameter]:
    """Return all parameters, in order of name."""
    return [_PARAMETERS[name] for name in sorted(_PARAMETERS)]


def parameter_problems(values: Mapping[str, float]) -> Iterator[str]:
    """Yield what is wrong with the values that a catalogue sets."""
    for name, value in values.items():
        known = _PARAMETERS.get(name)
        if known is None:
            yield f"parameters.{name}: no policy has this parameter"
        elif not known.least <= value <= known.most:
            yield f"parameters.{name}: must be from {known.least:g} to {known.most:g}"
