"""Condition of an upstream, judged from the traffic that passes its agent anyway.

Load pattern: some upstreams fail part or all of their requests while their health check succeeds,
or fall silent seconds before the store removes them. An upstream that fails at once looks the least
loaded, and one that accepts nothing never looks busy, so both attract the flows that others could
serve. Their agent gives such an upstream no flows but a few trials while others can take them.

The verdict only raises the load that the agent reports in a visit. A flow goes to an upstream that
is set aside only if every visited one is, so if a share `s` of the upstreams of a service is set
aside, they still get about `s ** 3` of its new flows. No process has to know the share, and a
failure that all upstreams have in common leaves placement as it was.
"""

from enum import Enum
from math import inf, log
from typing import NamedTuple

__all__ = ["IMPAIRED_LOAD", "Condition", "ConditionChange", "Evidence", "UpstreamCondition"]

# Added to the load of an upstream that should get no new flows: above every load of one that may.
IMPAIRED_LOAD = 1_000.0
# Added to the load of a suspected upstream: it gets a flow if the others have one request more.
SUSPECTED_LOAD = 1.0
# Share of requests that fail at a good upstream and at the least sick one to be detected. A good
# one resets or abandons a request only when it restarts.
GOOD_FAILURE_SHARE = 0.005
SICK_FAILURE_SHARE = 0.3
FAILURE_LOG_RATIO = log(SICK_FAILURE_SHARE / GOOD_FAILURE_SHARE)
SUCCESS_LOG_RATIO = log((1 - SICK_FAILURE_SHARE) / (1 - GOOD_FAILURE_SHARE))
# One failure after a series of successes.
SUSPECTED_LOG_RATIO = 4.0
# Two failures with at most three successes between them.
SET_ASIDE_LOG_RATIO = 7.0
# First time without new flows. It doubles with each relapse, up to a bound that a caller's two
# tries of 1.4 s each can outlast.
FIRST_ASIDE_S = 1.0
MAXIMUM_ASIDE_S = 4.0
# Time without a relapse after which the earlier ones no longer count.
CALM_S = 15.0
# Successes in a row that end a trial: an upstream that fails a third of its requests passes with a
# probability of 4 %.
TRIAL_SUCCESSES = 8


class Condition(Enum):
    """What an upstream may be given."""

    GOOD = "good"
    SUSPECTED = "suspected"
    SET_ASIDE = "set aside"
    ON_TRIAL = "on trial"


class Evidence(Enum):
    """What an upstream did to a request, or to a new flow."""

    SERVED = "served"
    RESET = "reset"
    CLOSED = "closed without an answer"
    UNACCEPTED = "new flow not accepted"
    UNANSWERED = "request not answered"
    ELAPSED = "time elapsed"
    RESTARTED = "new incarnation"


class ConditionChange(NamedTuple):
    """A transition, with the evidence for it and the end of the time aside, if there is one."""

    former: Condition
    current: Condition
    evidence: Evidence
    aside_until: float


class UpstreamCondition:
    """The condition of one incarnation of an upstream, by a sequential likelihood-ratio test."""

    def __init__(self):
        self.state = Condition.GOOD
        self.since = -inf
        self.log_ratio = 0.0
        self.relapses = 0
        self.aside_until = -inf
        self.trials = 0
        self.trial_successes = 0
        self.last_change: ConditionChange | None = None

    def load_penalty(self) -> float:
        """Return what is added to the load that visits report."""
        if self.state is Condition.ON_TRIAL:
            return 0.0 if self.trials <= self.trial_successes else IMPAIRED_LOAD
        return PENALTIES[self.state]

    def is_set_aside(self) -> bool:
        """Return whether the upstream should get no new flow now."""
        return self.load_penalty() >= IMPAIRED_LOAD

    def note_started(self) -> None:
        """Record a new flow; on trial, their number grows with the successes."""
        self.trials += self.state is Condition.ON_TRIAL

    def note_served(self, now: float) -> ConditionChange | None:
        """Record an answered request; return the transition that it causes."""
        self.log_ratio = max(0.0, self.log_ratio + SUCCESS_LOG_RATIO)
        if self.state is Condition.ON_TRIAL:
            self.trial_successes += 1
            if self.trial_successes >= TRIAL_SUCCESSES:
                return self.enter(Condition.GOOD, Evidence.SERVED, now)
        if self.state is Condition.SUSPECTED and self.log_ratio == 0.0:
            return self.enter(Condition.GOOD, Evidence.SERVED, now)
        return None

    def note_failed(self, evidence: Evidence, now: float) -> ConditionChange | None:
        """Record a failed request or new flow; return the transition that it causes."""
        self.log_ratio = min(SET_ASIDE_LOG_RATIO, self.log_ratio + FAILURE_LOG_RATIO)
        if self.state is Condition.SET_ASIDE:
            return None
        if self.state is Condition.ON_TRIAL or self.log_ratio >= SET_ASIDE_LOG_RATIO:
            return self.enter(Condition.SET_ASIDE, evidence, now)
        if self.state is Condition.GOOD and self.log_ratio >= SUSPECTED_LOG_RATIO:
            return self.enter(Condition.SUSPECTED, evidence, now)
        return None

    def advance(self, now: float) -> ConditionChange | None:
        """Start the trial of an upstream whose time aside is over."""
        if self.state is Condition.SET_ASIDE and now >= self.aside_until:
            return self.enter(Condition.ON_TRIAL, Evidence.ELAPSED, now)
        return None

    def restart(self, now: float) -> ConditionChange | None:
        """Forget what is known, since another incarnation has taken the upstream's place."""
        self.relapses = 0
        self.log_ratio = 0.0
        if self.state is Condition.GOOD:
            return None
        return self.enter(Condition.GOOD, Evidence.RESTARTED, now)

    def enter(self, state: Condition, evidence: Evidence, now: float) -> ConditionChange:
        """Make a transition and return it."""
        if state is Condition.SET_ASIDE:
            calm_s = now - self.since if self.state is Condition.GOOD else 0.0
            self.relapses = 0 if calm_s > CALM_S else self.relapses
            aside_s = min(MAXIMUM_ASIDE_S, FIRST_ASIDE_S * 2**self.relapses)
            self.aside_until = now + aside_s
            self.relapses += 1
        self.trials = self.trial_successes = 0
        if state in (Condition.ON_TRIAL, Condition.GOOD):
            self.log_ratio = 0.0
        change = ConditionChange(self.state, state, evidence, self.aside_until)
        self.state, self.since, self.last_change = state, now, change
        return change


PENALTIES = {
    Condition.GOOD: 0.0,
    Condition.SUSPECTED: SUSPECTED_LOAD,
    Condition.SET_ASIDE: IMPAIRED_LOAD,
}
