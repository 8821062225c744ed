"""Parameters of the planners that the catalogue may set."""

from dataclasses import dataclass

from radishshift.cascade import PlanningContext
from radishshift.policy_parameters import parameter

__all__ = ["ACCEPT_SCORE", "PlannerSettings"]

MARGIN = parameter(
    "target-mix.margin",
    1.5,
    (0, 10),
    "Quality reserve, in standard deviations of the sum of answer qualities.",
)
CAUTION = parameter(
    "target-mix.caution", 0.25, (0, 5), "Standard errors subtracted from an estimate."
)
EXPLORE_SHARE = parameter(
    "target-mix.explore-share",
    0.05,
    (0, 1),
    "Largest share of requests used to explore.",
)
EXPLORE_ERROR = parameter(
    "target-mix.explore-error", 0.03, (0, 1), "Standard error at which exploring ends."
)
FLOOR_SHARE = parameter(
    "target-mix.floor-share",
    0.005,
    (0, 1),
    "Largest share sent to versions whose quality may be below the floor.",
)
RATED_SHARE = parameter(
    "target-mix.rated-share", 0.1, (0, 1), "Share of answers that are rated."
)
SCORED_SHARE = parameter(
    "target-mix.scored-share", 0.2, (0, 1), "Share of answers that are scored to learn."
)
JUDGE_COST = parameter(
    "judge.cost-nano",
    0.0,
    (0, 1e12),
    "Cost of judging an answer, in billionths of the currency unit.",
)
JUDGE_TIME = parameter(
    "judge.time-s", 0.1, (0, 60), "Time to judge an answer, in seconds."
)
ACCEPT_SCORE = parameter(
    "cheap-first.accept-score",
    0.7,
    (0, 1),
    "Least score at which cheap-first keeps the answer.",
)


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Values of the parameters for one request."""

    margin: float
    caution: float
    explore_share: float
    explore_error: float
    floor_share: float
    rated_share: float
    scored_share: float
    judge_cost: float
    judge_s: float

    @classmethod
    def of(cls, context: PlanningContext) -> "PlannerSettings":
        """Return the values in force for a request."""
        values = context.parameters
        return cls(
            margin=MARGIN.of(values),
            caution=CAUTION.of(values),
            explore_share=EXPLORE_SHARE.of(values),
            explore_error=EXPLORE_ERROR.of(values),
            floor_share=FLOOR_SHARE.of(values),
            rated_share=RATED_SHARE.of(values),
            scored_share=SCORED_SHARE.of(values),
            judge_cost=JUDGE_COST.of(values),
            judge_s=JUDGE_TIME.of(values),
        )
