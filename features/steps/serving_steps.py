"""Steps of callers that send requests and check the answers."""

import json

import behave

from features.support import calls
from honeyport.backend import http


def check_written(context, reply):
    """Check that an answer is complete and is what an engine wrote."""
    assert reply.status == 200, reply
    assert reply.is_complete, reply.body[-300:]
    digests = [
        line['digest'] for line in context.world.executions_logged('end')
    ]
    assert reply.written_digest in digests


@behave.when('a caller asks for the address of chat "{chat}"')
def step_discover(context, chat):
    path = f'/v1/addresses?service=draft-llm&chat={chat}'
    address = context.world.address('router-1')
    reply = context.run(calls.send(address, calls.get_request(path)))
    listing = json.loads(reply.body)
    assert listing['ttl_s'] > 0
    context.chat = chat
    context.address = listing['addresses'][0]['address']


@behave.when('the caller sends a chat turn there')
def step_send_there(context):
    request = calls.chat_request(context.chat)
    context.replies = [context.run(calls.send(context.address, request))]


@behave.when('a caller sends a turn of chat "{chat}" to every router')
def step_send_all(context, chat):
    context.replies = [
        context.run(
            calls.send(context.world.address(name), calls.chat_request(chat))
        )
        for name in context.world.routers
    ]


@behave.then('the answer is whole and is what the engine wrote')
@behave.then('every answer is whole and is what the engine wrote')
def step_whole(context):
    assert context.replies
    for reply in context.replies:
        check_written(context, reply)


@behave.then('it was served without a hop')
def step_no_hop(context):
    reply = context.run(
        calls.send(context.address, calls.get_request('/metrics'))
    )
    lines = reply.body.decode().splitlines()
    hops = [line for line in lines if line.startswith('honeyport_hops_total')]
    direct = [line for line in hops if 'kind="none"' in line]
    assert direct and float(direct[0].split()[-1]) >= 1, hops


@behave.then('all of them came from the same engine')
def step_same_engine(context):
    engines = {
        reply.headers['Honeyport-Placement'] for reply in context.replies
    }
    assert len(engines) == 1, engines


@behave.when('a caller sends a filing to "{router}"')
def step_filing(context, router):
    address = context.world.address(router)
    request = calls.filing_request(calls.new_key())
    context.replies = [context.run(calls.send(address, request))]


@behave.then('the filing is answered with status {status:d}')
def step_filing_status(context, status):
    assert context.replies[-1].status == status, context.replies[-1]


@behave.then('it ran once')
def step_ran_once(context):
    assert len(context.world.executions_logged()) == 1, (
        context.world.executions_logged()
    )


@behave.then('nothing ran')
def step_nothing_ran(context):
    assert not context.world.executions_logged(), (
        context.world.executions_logged()
    )


@behave.when('a caller sends a turn that does not stream to "{router}"')
def step_no_streaming(context, router):
    request = calls.chat_request('yard-3', stream=False)
    address = context.world.address(router)
    context.replies = [context.run(calls.send(address, request))]


@behave.then('the answer is a whole JSON document')
def step_json(context):
    reply = context.replies[-1]
    assert reply.status == 200 and not reply.is_interrupted
    message = json.loads(reply.body)['choices'][0]['message']
    assert len(message['content'].split()) == 8


@behave.when('a caller asks "{router}" for a service that does not exist')
def step_unknown_service(context, router):
    send(context, router, calls.chat_request('c', service='no-such'))


@behave.when('an unknown client account sends a turn to "{router}"')
def step_unknown_account(context, router):
    send(context, router, calls.chat_request('c', account='nobody'))


@behave.when('a caller sends "{router}" a body that is not JSON')
def step_invalid_json(context, router):
    request = http.Request(
        method='POST', path='/v1/chat/completions', body=b'{'
    )
    send(context, router, request)


@behave.then('it is refused with "{code}" and "not run"')
def step_refused(context, code):
    error = context.replies[-1].error
    assert error.get('code') == code, context.replies[-1]
    assert error['ran'] is False, error


def send(context, router, request):
    """Send a request to a router; store the reply in the context."""
    address = context.world.address(router)
    context.replies = [context.run(calls.send(address, request))]
