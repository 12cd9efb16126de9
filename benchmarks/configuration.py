"""Time, bytes and memory to put a configuration into force, at three fleet sizes."""

import time
import tracemalloc

from benchmarks.common import fleet_document, report
from heatheryoke.core.topology import Topology
from heatheryoke.inventory.changes import apply_change, decode_change, encode_change, make_change
from heatheryoke.inventory.checks import check_document
from heatheryoke.inventory.document import decode_document, encode_document
from heatheryoke.inventory.model import HostState

SIZES = ((1_375, 138, 98), (5_500, 550, 390), (11_000, 1_100, 780))


def timed(call):
    """Return a call's result and its duration in milliseconds."""
    began = time.perf_counter()
    result = call()
    return result, round((time.perf_counter() - began) * 1000, 2)


def measure(endpoints: int, balancers: int, services: int) -> None:
    """Measure one fleet size."""
    document = fleet_document(endpoints, balancers, services)
    data, encode_ms = timed(lambda: encode_document(document))
    decoded, decode_ms = timed(lambda: decode_document(data).unwrap())
    problems, check_ms = timed(lambda: check_document(decoded))
    tracemalloc.start()
    topology, index_ms = timed(lambda: Topology(decoded))
    _, ring_ms = timed(lambda: topology.segments)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    hosts = list(document.hosts)
    hosts[3] = hosts[3]._replace(state=HostState.DRAINING)
    changed = document._replace(version=2, hosts=tuple(hosts))
    change, make_ms = timed(lambda: encode_change(make_change(document, changed)))
    _, apply_ms = timed(lambda: apply_change(document, decode_change(change).unwrap()).unwrap())
    report(
        "configuration",
        endpoints=endpoints,
        processes=endpoints + balancers,
        problems=len(problems),
        document_bytes=len(data),
        change_bytes=len(change),
        encode_ms=encode_ms,
        decode_ms=decode_ms,
        check_ms=check_ms,
        index_ms=index_ms,
        ring_ms=ring_ms,
        make_change_ms=make_ms,
        apply_change_ms=apply_ms,
        index_mb=round(memory / 1e6, 2),
    )


def main() -> None:
    """Measure all fleet sizes."""
    for size in SIZES:
        measure(*size)


if __name__ == "__main__":
    main()
