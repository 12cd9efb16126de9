"""Hunt for open flows that are reset or lose their owner in the model.

`python -m benchmarks.flow_ownership FIRST COUNT` prints each violation with the trace of its flow,
`--brief` one line each; the exit status is 1 if there is any.
"""

import sys
from collections import Counter

from heatheryoke.measure.flow_troubles import run_flow_seed


def hunt(first: int, count: int, brief: bool = False) -> Counter[str]:
    """Run seeds; return how many flows violated what, and how many flows and seeds there were."""
    found: Counter[str] = Counter()
    for seed in range(first, first + count):
        run = run_flow_seed(seed)
        found["flows"] += run.world.flow_count
        found["seeds with a violation"] += bool(run.violations)
        found.update(f"{row.kind.value}, {row.reason}" for row in run.violations)
        for row in run.violations:
            line = f"{row.time:.3f} s, {row.kind.value} by {row.culprit}, {row.reason}"
            print(f"seed {seed}: {line if brief else run.world.judge.describe(row)}")
    return found


def main() -> None:
    numbers = [int(word) for word in sys.argv[1:] if word.isdigit()]
    first, count = numbers if len(numbers) == 2 else (0, 100)
    found = hunt(first, count, "--brief" in sys.argv)
    for name, number in found.items():
        print(f"{number} {name}")
    sys.exit(1 if found["seeds with a violation"] else 0)


if __name__ == "__main__":
    main()
