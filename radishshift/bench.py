"""Command that runs an experiment and prints its result as one JSON object."""

import importlib
import pkgutil
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from absl import app, flags

import radishshift.experiments

__all__ = ["experiment", "load_experiments", "run"]

FLAGS = flags.FLAGS

Experiment = Callable[[int], Mapping[str, Any]]

_EXPERIMENT_BY_NAME: dict[str, Experiment] = {}


def experiment(name: str) -> Callable[[Experiment], Experiment]:
    """Register an experiment, which takes a seed and returns JSON values."""

    def register(func: Experiment) -> Experiment:
        _EXPERIMENT_BY_NAME[name] = func
        return func

    return register


def load_experiments() -> dict[str, Experiment]:
    """Import the experiment modules and return the registered experiments by name."""
    package = radishshift.experiments
    for module in pkgutil.iter_modules(package.__path__, package.__name__ + "."):
        importlib.import_module(module.name)
    return dict(_EXPERIMENT_BY_NAME)


def _main(_: list[str]) -> None:
    result = load_experiments()[FLAGS.experiment](FLAGS.seed)
    print(msgspec.json.encode(result).decode())


def run() -> None:
    """Parse the command line and run the experiment; experiments define more flags."""
    names = sorted(load_experiments())
    flags.DEFINE_enum("experiment", None, names, "The experiment to run.")
    flags.DEFINE_integer("seed", 1, "Seed of the random numbers.")
    flags.mark_flag_as_required("experiment")
    app.run(_main)
