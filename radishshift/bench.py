"""Runs an experiment and prints its result as one JSON object."""

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

_EXPERIMENTS: dict[str, Experiment] = {}


def experiment(name: str) -> Callable[[Experiment], Experiment]:
    """Register an experiment; it takes a seed and returns JSON values."""

    def register(func: Experiment) -> Experiment:
        _EXPERIMENTS[name] = func
        return func

    return register


def load_experiments() -> dict[str, Experiment]:
    """Import the modules of experiments and return what they registered."""
    package = radishshift.experiments
    for module in pkgutil.iter_modules(package.__path__, package.__name__ + "."):
        importlib.import_module(module.name)
    return dict(_EXPERIMENTS)


def _main(_: list[str]) -> None:
    result = load_experiments()[FLAGS.experiment](FLAGS.seed)
    print(msgspec.json.encode(result).decode())


def run() -> None:
    """Run the bench from the command line; experiments add their own flags."""
    names = sorted(load_experiments())
    flags.DEFINE_enum("experiment", None, names, "The experiment to run.")
    flags.DEFINE_integer("seed", 1, "Seed of its random numbers.")
    flags.mark_flag_as_required("experiment")
    app.run(_main)
