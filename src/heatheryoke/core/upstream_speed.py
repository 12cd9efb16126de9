"""Whether an upstream takes several times as long as it usually does.

Load pattern: some upstreams turn slow by four to eight times for some seconds. Their work in
progress shows it only once it has piled up, and by then each flow placed there is late. So a slow
upstream's work counts by the time that it takes, not by the number of its requests.
"""

__all__ = ["UpstreamSpeed"]

# Answers after which the usual time is known well enough to compare with.
USUAL_SAMPLES = 20
# Weight of a new answer in the present time: a change shows within five answers.
PRESENT_GAIN = 0.25
# Weight of a new answer in the usual time, after the first ones.
USUAL_GAIN = 0.02
# Ratio of present to usual time below which the difference is taken for chance or a cold start,
# which takes 1.6 times as long.
SLOW_RATIO = 2.5
# Largest ratio that counts, so that a stuck request does not shut an upstream out for good.
MAXIMUM_RATIO = 10.0


class UpstreamSpeed:
    """Compares the present time of an answer, in seconds, with the usual one."""

    def __init__(self):
        self.samples = 0
        self.usual_s = 0.0
        self.present_s = 0.0

    def add(self, took_s: float) -> None:
        """Add the time of an answer to a request that found a free slot."""
        self.samples += 1
        if self.samples == 1:
            self.usual_s = self.present_s = took_s
            return
        self.present_s += PRESENT_GAIN * (took_s - self.present_s)
        if not self.is_slow():
            gain = max(USUAL_GAIN, 1 / self.samples)
            self.usual_s += gain * (took_s - self.usual_s)

    def is_slow(self) -> bool:
        """Return whether answers take several times as long as usual."""
        return self.samples > USUAL_SAMPLES and self.present_s > SLOW_RATIO * self.usual_s

    def slowness(self) -> float:
        """Return how many times as long as usual an answer takes, 1 unless that is slow."""
        if not self.is_slow():
            return 1.0
        return min(MAXIMUM_RATIO, self.present_s / self.usual_s)
