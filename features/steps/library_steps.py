"""Steps that send chats through the client library."""

import asyncio

import behave

from honeyport import client

_CHAT_DEADLINE_S = 20.0


@behave.given('a client library configured with "{name}" alone')
def step_library(context, name):
    address = context.world.address(name)
    context.library = client.Client([address], 'district-1')

    async def close():
        context.library.close()

    context.to_stop.append(close)


@behave.when('{count:d} chats are sent through the client library')
def step_chats(context, count):
    context.run(_send_chats(context, 'old', count))


@behave.when('"{name}" is killed and not restarted')
def step_killed(context, name):
    context.run(context.world.kill(name))


@behave.then(
    '{count:d} new chats through the client library get whole answers'
)
def step_new_chats(context, count):
    context.run(_send_chats(context, 'new', count))


async def _send_chats(context, prefix, count):
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(
                _send_chat(context.library, f'{prefix}-{number}')
            )


async def _send_chat(library, name):
    """Send a chat; raise unless its answer is complete."""
    messages = [{'role': 'user', 'content': name}]
    async for _ in library.chat(
        'draft-llm', name, messages, deadline_s=_CHAT_DEADLINE_S, max_tokens=10
    ):
        pass
