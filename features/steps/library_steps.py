"""Steps about the callers' library and the routers that it knows."""

import asyncio

import behave

from honeyport import client

_DEADLINE_S = 20.0


@behave.given('a callers\' library that was given "{name}" alone')
def step_library(context, name):
    address = context.world.address(name)
    context.library = client.Client([address], 'district-1')

    async def close():
        context.library.close()

    context.to_stop.append(close)


@behave.when('{count:d} chats go through the library')
def step_chats(context, count):
    context.run(_talk(context, 'old', count))


@behave.when('"{name}" is gone for good')
def step_gone(context, name):
    context.run(context.world.kill(name))


@behave.then('{count:d} new chats through the library are answered whole')
def step_new_chats(context, count):
    context.run(_talk(context, 'new', count))


async def _talk(context, prefix, count):
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(_chat(context.library, f'{prefix}-{number}'))


async def _chat(library, name):
    """Take part in one chat; raises unless its answer is whole."""
    messages = [{'role': 'user', 'content': name}]
    async for _ in library.chat(
        'draft-llm', name, messages, deadline_s=_DEADLINE_S, max_tokens=10
    ):
        pass
