"""Steps for loads, prompt sizes and pauses that gateways read and log."""

import behave
from tornado import httputil

from honeyport.gateway import event_timing
from honeyport.gateway import headers
from honeyport.policy import prefixes
from honeyport import sse


@behave.when('an instance reports the load "{text}"')
def step_load(context, text):
    context.load = headers.parse_load(text)


@behave.when('an instance reports the load ""')
def step_no_load(context):
    context.load = headers.parse_load('')


@behave.then(
    '{running:d} requests are running and {waiting:d} are waiting there'
)
def step_running(context, running, waiting):
    assert context.load is not None
    assert (context.load.running, context.load.waiting) == (running, waiting)


@behave.then('its load is not known')
def step_unknown(context):
    assert context.load is None, context.load


@behave.when('a request has the prompt parts "{text}"')
def step_parts(context, text):
    names = headers.HeaderNames()
    start_line = httputil.RequestStartLine('POST', '/', 'HTTP/1.1')
    sent = httputil.HTTPHeaders({names.prompt_parts: text})

    async def decode():
        return headers.decode(start_line, sent, b'', names, 1.0)

    context.request = context.run(decode())


@behave.then('the sizes of its parts are {tokens}')
def step_sizes(context, tokens):
    sizes = ','.join(str(part.tokens) for part in context.request.parts)
    assert sizes == tokens, sizes


@behave.given(
    'an instance that answered a prompt with parts of {tokens} tokens'
)
def step_holder(context, tokens):
    context.parts = _parts(tokens)
    context.holders = prefixes.Holders()
    for part in prefixes.shared_parts(context.parts):
        context.holders.add(part.id, 'i-1')


@behave.then(
    'of one with parts of {tokens} tokens {count:d} may not be cached there'
)
def step_uncached(context, tokens, count):
    parts = _parts(tokens)
    uncached = prefixes.uncached_tokens(parts, 'i-1', context.holders)
    assert uncached == count, uncached


@behave.when('chunks of a stream arrive')
def step_chunks(context):
    splitter = sse.EventSplitter()
    timing = event_timing.EventTiming()
    for row in context.table:
        splitter.feed(row['chunk'].encode().replace(b'|', b'\n'))
        timing.record_events(splitter.events, float(row['at_s']))
        timing.record_write(float(row['write_s']))
    context.fields = timing.log_fields(10.0)


@behave.then('its line says')
def step_line(context):
    expected = {row['field']: float(row['value']) for row in context.table}
    assert context.fields == expected, context.fields


@behave.then('its line says nothing of events')
def step_no_events(context):
    assert context.fields == {}, context.fields


def _parts(tokens):
    """Return parts with these sizes, named after them."""
    return [
        prefixes.Part(f'part-{size.strip()}', int(size))
        for size in tokens.split(',')
    ]
