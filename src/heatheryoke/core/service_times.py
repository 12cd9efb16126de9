"""How long an upstream works on a request, from the answers that did not wait for a slot."""

__all__ = ["ServiceTimes"]

# Follows a change within twenty answers.
LEAST_GAIN = 0.1
# The resolution of the clock's use here (s).
LEAST_S = 0.001
# Service times that fit into an aim, on the deployments seen: 4.6 to 6.7.
SERVICES_PER_AIM = 5.0


class ServiceTimes:
    """A moving mean of service times, in seconds; the first ones weigh most.

    Before the first it is taken from the aims of the requests, which leave room for a few waits.
    """

    def __init__(self):
        self.samples = 0
        self.mean_s = 0.0

    def expected(self, aim_s: float) -> float:
        """Return the service time to expect of a request with an aim."""
        return self.mean_s if self.samples else max(LEAST_S, aim_s / SERVICES_PER_AIM)

    def add(self, took_s: float) -> None:
        """Take in one service time."""
        self.samples += 1
        gain = max(LEAST_GAIN, 1 / self.samples)
        self.mean_s = max(LEAST_S, self.mean_s + gain * (took_s - self.mean_s))
