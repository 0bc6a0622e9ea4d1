"""Processor time per kind of work, learned from the processor time of the whole process."""

from __future__ import annotations

from dataclasses import dataclass, field

# Kinds of work, named as on the console.
SETUP = "setup"  # an admitted request
REJECTION = "refusal"  # a rejected request
LINE = "line"  # a forwarded line or message

KINDS = (SETUP, REJECTION, LINE)
PRIOR_SECONDS = {SETUP: 1.0e-3, REJECTION: 1.5e-4, LINE: 4.0e-5}  # initial costs, in seconds of a core
MAX_PRIOR_RATIO = 12.0  # a learned cost stays between its prior divided by and multiplied by this
STEP_SIZE = 0.08  # fraction of one reading's error by which the costs are corrected
MIN_NORM = 1e-8  # squared seconds; readings with less work are not used for learning


@dataclass(slots=True)
class WorkCosts:
    """Seconds of a core for each kind of work.

    A normalized least-mean-squares filter (Widrow and Hoff, 1960) on the counts of each reading: in an event
    loop the kinds cannot be timed separately, but their sum is the processor time used. Each cost stays
    within bounds around its prior, which limits the effect of outliers.
    """

    seconds: dict[str, float] = field(default_factory=lambda: dict(PRIOR_SECONDS))
    counts: dict[str, float] = field(default_factory=lambda: dict.fromkeys(KINDS, 0.0))

    def record(self, kind: str, number: float = 1.0) -> None:
        """Count completed work of one kind."""
        self.counts[kind] += number

    def update(self, used_seconds: float) -> None:
        """Learn from the processor time of the counted work, in seconds of a core; reset the counts."""
        counts = self.counts
        self.discard_counts()
        # Scaled by the priors, so that all kinds have equal weight whatever their cost.
        work = {kind: counts[kind] * PRIOR_SECONDS[kind] for kind in KINDS}
        norm = sum(amount * amount for amount in work.values())
        if norm <= MIN_NORM:
            return
        error = used_seconds - sum(self.seconds[kind] * counts[kind] for kind in KINDS)
        for kind in KINDS:
            prior = PRIOR_SECONDS[kind]
            learned = self.seconds[kind] + STEP_SIZE * error * work[kind] / norm * prior
            self.seconds[kind] = min(prior * MAX_PRIOR_RATIO, max(prior / MAX_PRIOR_RATIO, learned))

    def discard_counts(self) -> None:
        """Reset the counts without learning from them."""
        self.counts = dict.fromkeys(KINDS, 0.0)
