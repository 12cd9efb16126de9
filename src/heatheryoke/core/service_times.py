"""Estimate of an upstream's service time, from requests that did not wait for a slot."""

__all__ = ["ServiceTimes"]

# Smallest weight of a new sample: the mean follows a change within twenty answers.
MINIMUM_GAIN = 0.1
# Smallest estimate: the resolution of the measured times.
MINIMUM_S = 0.001
# Service times per latency target; 4.6 to 6.7 on known deployments.
SERVICES_PER_TARGET_LATENCY = 5.0


class ServiceTimes:
    """A moving mean of service times, in seconds; the first samples weigh most.

    Before the first sample it is derived from a latency target, which leaves room for some waiting.
    """

    def __init__(self):
        self.samples = 0
        self.mean_s = 0.0

    def expected(self, target_latency_s: float) -> float:
        """Return the expected service time of a request with a target latency."""
        return (
            self.mean_s
            if self.samples
            else max(MINIMUM_S, target_latency_s / SERVICES_PER_TARGET_LATENCY)
        )

    def add(self, took_s: float) -> None:
        """Add one service time."""
        self.samples += 1
        gain = max(MINIMUM_GAIN, 1 / self.samples)
        self.mean_s = max(MINIMUM_S, self.mean_s + gain * (took_s - self.mean_s))
