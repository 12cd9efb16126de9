"""How long an upstream works on a request, from the answers that did not wait for a slot."""

__all__ = ["ServiceTimes"]

LEAST_GAIN = 0.1
LEAST_S = 0.001
AIMS_PER_SERVICE = 5.0


class ServiceTimes:
    """A moving mean of service times, in seconds; the first ones weigh most.

    Before the first it is taken from the aims of the requests, which leave room for a few waits.
    """

    def __init__(self):
        self.samples = 0
        self.mean_s = 0.0

    def expected(self, aim_s: float) -> float:
        """Return the service time to expect of a request with an aim."""
        return self.mean_s if self.samples else max(LEAST_S, aim_s / AIMS_PER_SERVICE)

    def add(self, took_s: float) -> None:
        """Take in one service time."""
        self.samples += 1
        gain = max(LEAST_GAIN, 1 / self.samples)
        self.mean_s = max(LEAST_S, self.mean_s + gain * (took_s - self.mean_s))
