"""Checks each model of the specification and its mutations: `python -m spec`."""

import sys
from concurrent.futures import ProcessPoolExecutor

from spec.attempts import ATTEMPTS
from spec.bills import BILLS
from spec.claims import CLAIMS
from spec.configuration import CONFIGURATION
from spec.leases import LEASES
from spec.model import Model, Result, check_model
from spec.restores import RESTORES
from spec.rollouts import ROLLOUTS

MODELS = {
    model.name: model
    for model in (CLAIMS, BILLS, CONFIGURATION, RESTORES, LEASES, ATTEMPTS, ROLLOUTS)
}
WORKER_PROCESSES = 4


def _check(name: str, removed_guard: str) -> Result:
    return check_model(MODELS[name], removed_guard)


def _model_line(model: Model, result: Result) -> str:
    verdict = f"BROKEN: {result.broken_property}" if result.broken_property else "holds"
    coverage = "all" if result.exhaustive else "only the first"
    return (
        f"{model.name}: {verdict}; {coverage} {result.state_count} states "
        f"({model.bounds}), {len(model.properties)} properties, "
        f"{result.duration_s:.1f} s"
    )


def _mutation_line(removed_guard: str, result: Result) -> str:
    if not result.broken_property:
        return f"  without {removed_guard}: NO COUNTEREXAMPLE"
    return (
        f"  without {removed_guard}: {len(result.counterexample)} steps break "
        f"`{result.broken_property}`"
    )


def main() -> int:
    """Check all models and mutations, and return the number of failed checks."""
    failed = 0
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        checks = {
            (name, removed_guard): pool.submit(_check, name, removed_guard)
            for name, model in MODELS.items()
            for removed_guard in ("", *model.guards)
        }
        for (name, removed_guard), check in checks.items():
            result = check.result()
            if removed_guard:
                print(_mutation_line(removed_guard, result))
                failed += not result.broken_property
            else:
                print(_model_line(MODELS[name], result))
                for step in result.counterexample:
                    print(f"    {step}")
                failed += bool(result.broken_property) or not result.exhaustive
    print(f"specification: {len(checks) - failed} checks passed, {failed} failed")
    return failed


if __name__ == "__main__":
    sys.exit(min(1, main()))
