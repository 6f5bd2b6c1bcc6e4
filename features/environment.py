"""Hooks that behave calls before and after scenarios."""

import asyncio
import pathlib
import shutil
import tempfile

from features.support import world
from honeyport.telemetry import log as logs


def before_all(context):
    # A separate file: the log makes its descriptor non-blocking.
    context.log = (pathlib.Path(tempfile.mkdtemp()) / 'log').open('w')
    logs.configure('error', descriptor=context.log.fileno(), instance='test')


def before_scenario(context, scenario):
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix='honeyport-test-'))
    context.loop = asyncio.new_event_loop()
    context.run = context.loop.run_until_complete
    context.world = world.World(context.folder)
    context.to_stop = []


def after_scenario(context, scenario):
    for stop in reversed(context.to_stop):
        context.run(stop())
    context.run(context.world.stop())
    context.loop.close()
    if scenario.status.name in ('failed', 'error'):
        print(f'the logs of {scenario.name!r} are in {context.folder}')
    else:
        shutil.rmtree(context.folder, ignore_errors=True)
