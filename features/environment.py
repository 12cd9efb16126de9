"""Runs the steps of a scenario on one event loop and stops what the scenario started."""

import asyncio
import logging

from loguru import logger


def before_all(context):
    logger.remove()
    logging.getLogger("coap").setLevel(logging.CRITICAL)
    logging.getLogger("coap-server").setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    context.site = None
    context.turn = 0
    context.feed_callers = []
    context.sheet_callers = []


def after_scenario(context, scenario):
    if context.site is not None:
        context.loop.run_until_complete(end_scenario(context))
    context.loop.close()


async def end_scenario(context):
    for caller in (*context.feed_callers, *context.sheet_callers):
        await caller.close()
    await context.site.close()


def after_step(context, step):
    """Print why a step failed, since the progress format does not."""
    if step.error_message:
        print(f"\n{step.filename}:{step.line} {step.name}: {step.error_message}")
