"""Versions, planning contexts and evidence for tests of planners."""

import numpy as np

from radishshift.cascade import PlanningContext
from radishshift.catalogue import ModelVersion, VersionState
from radishshift.contracts import Limits, Objectives, QualityTarget, TaskClass
from radishshift.evidence import Cell, Evidence, Outcome

NOW = 1_000_000.0


def make_version(name, price, quality, state=VersionState.SERVING, **kwargs):
    fields = {
        "model": name.partition(".")[0],
        "owner": "tests",
        "canary_share": 0.0,
        "stable": "",
        "quality": {"draft": quality},
        "limits": Limits(1e9, 1e9, 10**6),
    }
    return ModelVersion(
        name=name,
        state=state,
        prompt_price=price,
        completion_price=price,
        **(fields | kwargs),
    )


def make_context(versions, target=0.8, floor=0.0, now=NOW, **kwargs):
    objectives = Objectives(0.75, 0.058, 60.0, 0.95)
    fields = {
        "customer": "uyole-ring",
        "task_class": TaskClass("draft", 1, 60.0, True, objectives),
        "prompt_tokens": 100,
        "completion_tokens": 100,
        "deadline": now + 60.0,
        "can_judge": True,
    }
    return PlanningContext(
        quality=QualityTarget(target, floor),
        candidates=tuple(versions),
        now=now,
        **(fields | kwargs),
    )


def learn(evidence, version, quality, count=400, duration_s=1.0, now=NOW, seed=1):
    """Record scores and ratings of a version around a mean quality."""
    rng = np.random.default_rng(seed)
    cell = Cell(version.name, "draft")
    for value in rng.beta(quality * 4, (1 - quality) * 4, count):
        evidence.record_score(cell, float(value), now)
        evidence.record_rating(cell, float(value), float(value), now)
    outcome = Outcome(
        version.name, "e", "uyole-ring", "draft", True, duration_s, 0.0, duration_s, 0
    )
    evidence.record(outcome, now)


def make_evidence(qualities, **kwargs):
    evidence = Evidence()
    for version, quality in qualities:
        learn(evidence, version, quality, **kwargs)
    return evidence
