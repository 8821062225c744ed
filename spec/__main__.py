"""Checks the specification and each of its mutations: `python -m spec`."""

import sys
from concurrent.futures import ProcessPoolExecutor

from spec.attempts import ATTEMPTS
from spec.bills import BILLS
from spec.claims import CLAIMS
from spec.configuration import CONFIGURATION
from spec.leases import LEASES
from spec.model import Model, Result, check_model
from spec.rollouts import ROLLOUTS

MODELS = {
    model.name: model
    for model in (CLAIMS, BILLS, CONFIGURATION, LEASES, ATTEMPTS, ROLLOUTS)
}
WORKERS = 4


def _check(name: str, removed: str) -> Result:
    return check_model(MODELS[name], removed)


def _whole_line(model: Model, result: Result) -> str:
    verdict = f"BROKEN: {result.broken}" if result.broken else "holds"
    whole = "all" if result.whole else "only the first"
    return (
        f"{model.name}: {verdict}; {whole} {result.states} states "
        f"({model.bounds}), {len(model.properties)} properties, {result.seconds:.1f} s"
    )


def _mutation_line(removed: str, result: Result) -> str:
    if not result.broken:
        return f"  without {removed}: NO COUNTEREXAMPLE"
    return f"  without {removed}: {len(result.run)} steps break `{result.broken}`"


def main() -> int:
    """Check everything; return the number of checks that failed."""
    failed = 0
    with ProcessPoolExecutor(WORKERS) as pool:
        checks = {
            (name, removed): pool.submit(_check, name, removed)
            for name, model in MODELS.items()
            for removed in ("", *model.guards)
        }
        for (name, removed), check in checks.items():
            result = check.result()
            if removed:
                print(_mutation_line(removed, result))
                failed += not result.broken
            else:
                print(_whole_line(MODELS[name], result))
                for step in result.run:
                    print(f"    {step}")
                failed += bool(result.broken) or not result.whole
    print(f"specification: {len(checks) - failed} checks passed, {failed} failed")
    return failed


if __name__ == "__main__":
    sys.exit(min(1, main()))
