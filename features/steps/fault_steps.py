"""Steps that cause faults and check their effects."""

import asyncio
import random
import signal
import socket

from behave import step, then, when

from features.steps.deployment_steps import run
from heatheryoke.inventory.model import HostState
from heatheryoke.standins.fabric import Faults

SEED = 11
DOWN_S = 0.5
RESTART_SETTLE_S = 3.0
SILENCE_S = 5.0
OBSERVE_S = 3.0
BAD_PREFIXES = (b"", b"HY", b"HY\x01\x01", b"HY\x02\x01", b"\r\n\r\n\x00\r\nQUIT\n!")


async def restart(context, name):
    await asyncio.sleep(DOWN_S)
    await context.site.start_process(context.site.host(name))
    await asyncio.sleep(RESTART_SETTLE_S)


@step("{name} is stopped and restarted")
def stop_and_start(context, name):
    async def change():
        code = await context.site.stop(name)
        assert code == 0, f"{name} exited with code {code}"
        await restart(context, name)

    run(context, change())


@step("every host is stopped and restarted in turn")
def stop_and_start_all(context):
    for host in context.site.document.hosts:
        stop_and_start(context, host.name)


@step("{name} is killed and restarted")
def kill_and_start(context, name):
    async def change():
        if name.startswith("balancer"):
            context.site.hide_balancer(name)
        await context.site.kill(name)
        await restart(context, name)

    run(context, change())


@step("{name} is paused for {seconds:d} seconds")
def pause(context, name, seconds):
    async def change():
        context.site.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        context.site.send_signal(name, signal.SIGCONT)
        await asyncio.sleep(1.0)

    run(context, change())


@step("{name} is paused while {domain} is withdrawn")
def pause_over_withdrawal(context, name, domain):
    async def change():
        context.site.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(1.0)
        context.site.set_withdrawn(domain, True)
        await asyncio.sleep(SILENCE_S)
        context.served = served_in(context, domain)
        context.site.send_signal(name, signal.SIGCONT)
        await asyncio.sleep(OBSERVE_S)

    run(context, change())


def served_in(context, domain):
    names = [host.name for host in context.site.document.hosts if host.failure_domain == domain]
    upstreams = [context.site.upstreams[name] for name in names if name in context.site.upstreams]
    return sum(upstream.served + upstream.feed.registrations for upstream in upstreams)


@then("the upstreams of {domain} receive nothing after {seconds:d} seconds")
def domain_is_silent(context, domain, seconds):
    assert served_in(context, domain) == context.served


@when("the platform is down")
def platform_down(context):
    context.site.platform.is_down = True


@then("{name} has the current configuration")
def has_configuration(context, name):
    status = run(context, context.site.first_status(name))
    assert status["epoch"] == context.site.document.version, status["epoch"]


@when("the fabric duplicates and delays datagrams")
def set_fabric_faults(context):
    context.site.fabric.faults = Faults(duplicate=0.3, delay=0.3, delay_s=0.05)


@when("{name} is set to {state}")
def set_state(context, name, state):
    context.site.set_host_state(name, HostState(state))
    run(context, context.site.wait_for_epoch())


@when("the platform serves the first version again")
def serve_older(context):
    context.site.platform.serve(1)
    run(context, asyncio.sleep(2.0))


@then("every process keeps the latest version")
def keeps_latest(context):
    for name in context.site.processes:
        status = run(context, context.site.status(name))
        assert status["epoch"] == context.site.document.version, name


@when("every socket of {first} and {second} receives {count:d} bad datagrams")
def bad_datagrams(context, first, second, count):
    chance = random.Random(SEED)
    context.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.sender.bind(("127.0.0.1", 0))
    context.sender.setblocking(False)
    targets = [context.site.host(first).address, context.site.host(second).address]
    targets.append(context.site.fabric_listens[first])
    for target in targets:
        for number in range(count):
            prefix = BAD_PREFIXES[number % len(BAD_PREFIXES)]
            context.sender.sendto(prefix + chance.randbytes(chance.randrange(120)), target)
    run(context, asyncio.sleep(0.5))


@then("the bad datagrams are counted at {first} and {second}")
def bad_datagrams_counted(context, first, second):
    for name, expected in ((first, 400), (second, 200)):
        status = run(context, context.site.status(name))
        bad = sum(n for key, n in status["counters"].items() if key.startswith("bad_datagrams"))
        assert bad == expected, (name, bad)


@then("no bad datagram was answered")
def nothing_answered(context):
    try:
        answer = context.sender.recv(2_000)
    except BlockingIOError:
        answer = b""
    context.sender.close()
    assert answer == b""
