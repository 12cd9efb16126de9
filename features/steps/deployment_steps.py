"""Steps that run a deployment and its callers."""

import asyncio

from behave import given, step, then, when

from features.processes import ProcessSite
from heatheryoke.standins.caller import Caller, Reply
from heatheryoke.standins.deployments import DEPLOYMENTS
from heatheryoke.standins.upstream import UpstreamBehaviour

SEED = 7
SETTLE_S = 4.0
NOTIFICATION_TIMEOUT_S = 15.0


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given("the {name} deployment runs as separate processes")
def start_deployment(context, name):
    deployment = DEPLOYMENTS[name]
    behaviour = UpstreamBehaviour(slots=deployment.slots, notify_s=0.4)
    context.site = ProcessSite(deployment, SEED, behaviour)

    async def start():
        await context.site.start_standins()
        await context.site.start_processes()
        await context.site.wait_for_epoch()
        await asyncio.sleep(SETTLE_S)

    run(context, start())


@when("{count:d} callers open feeds")
def open_feeds(context, count):
    deployment = context.site.deployment

    async def start():
        for _ in range(count):
            caller = Caller(context.site.service_address(deployment.main_service))
            await caller.start()
            caller.open_feed(deployment.feed_path)
            context.feed_callers.append(caller)

    run(context, start())
    run(context, wait_for_notifications(context, NOTIFICATION_TIMEOUT_S))


async def wait_for_notifications(context, timeout_s):
    before = {caller: caller.notifications for caller in context.feed_callers}
    loop = asyncio.get_running_loop()
    began = loop.time()
    while any(caller.notifications == seen for caller, seen in before.items()):
        if loop.time() - began > timeout_s:
            silent = sum(caller.notifications == seen for caller, seen in before.items())
            raise AssertionError(f"{silent} feeds received no notification within {timeout_s} s")
        await asyncio.sleep(0.05)


@step("each feed caller sends {count:d} measurements")
@step("each feed caller sends {count:d} measurement")
def send_writes(context, count):
    path = context.site.deployment.write_path

    async def send():
        for _ in range(count):
            context.turn += 1
            identities = (f"{number}-{context.turn}" for number in range(len(context.feed_callers)))
            pairs = zip(context.feed_callers, identities, strict=True)
            await asyncio.gather(*(caller.write(path, identity) for caller, identity in pairs))

    run(context, send())


@step("{callers:d} callers fetch {count:d} sheets each")
def fetch_sheets(context, callers, count):
    deployment = context.site.deployment

    async def fetch(index):
        caller = Caller(context.site.service_address(deployment.sheet_service))
        await caller.start()
        context.sheet_callers.append(caller)
        for turn in range(count):
            await caller.fetch_sheet(deployment.sheet_path, f"sheet-{index}-{turn}")

    async def fetch_all():
        await asyncio.gather(*(fetch(index) for index in range(callers)))

    run(context, fetch_all())


@step("{name} is killed")
def kill(context, name):
    if name.startswith("balancer"):
        context.site.hide_balancer(name)
    run(context, context.site.kill(name))


@then("every write and sheet is served")
def all_served(context):
    replies = [caller.replies for caller in (*context.feed_callers, *context.sheet_callers)]
    unserved = {
        reply: count
        for replied in replies
        for reply, count in replied.items()
        if reply is not Reply.SERVED
    }
    assert not unserved, unserved


@then("every feed receives notifications")
def feeds_receive_notifications(context):
    run(context, wait_for_notifications(context, NOTIFICATION_TIMEOUT_S))


@then("no feed was broken")
def no_feed_broken(context):
    broken = [
        (caller.feed_restarts, caller.owner_changes)
        for caller in context.feed_callers
        if caller.feed_restarts or caller.owner_changes
    ]
    assert not broken, broken


@then("no write was run twice")
def no_write_doubled(context):
    assert context.site.ledger.doubled() == []


@then("no process reported a fault")
def no_faults(context):
    for name in context.site.processes:
        status = run(context, context.site.status(name))
        assert status is not None, f"{name} does not answer status requests"
        assert status["counters"].get("faults", 0) == 0, name
