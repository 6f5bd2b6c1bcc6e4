"""Steps for the decoder of bodies in chunks."""

import ast
import random

import behave
from tornado import httputil

from honeyport.ingress import chunked

_SEED = 7
_NEXT_REQUEST = b'GET / HTTP/1.1\r\n'
_MAX_CHUNKS = 12
_MAX_CHUNK_BYTES = 40
_MAX_PIECE_BYTES = 25
_LONG_LINE = b'0' * 100


@behave.given(
    '{count:d} random bodies in chunks, each followed by another request'
)
def step_bodies(context, count):
    context.random = random.Random(_SEED)
    context.bodies = [_make_body(context.random) for _ in range(count)]


@behave.when('they are decoded in random pieces')
def step_decode(context):
    context.decoded = [
        _decode(encoded, lambda: context.random.randint(1, _MAX_PIECE_BYTES))
        for _, encoded in context.bodies
    ]


@behave.then('each content is whole, and the other request is left')
def step_whole(context):
    for (content, _), decoded in zip(
        context.bodies, context.decoded, strict=True
    ):
        assert decoded == (content, _NEXT_REQUEST), (content, decoded)


@behave.then('{text} is an error, in one piece and byte by byte')
def step_error(context, text):
    data = ast.literal_eval(text).encode() + _LONG_LINE
    for size in (len(data), 1):
        try:
            decoded = _decode(data, lambda: size)  # noqa: B023
        except httputil.HTTPInputError:
            continue
        raise AssertionError((size, decoded))


def _make_body(generator):
    chunks = [
        generator.randbytes(generator.randint(1, _MAX_CHUNK_BYTES))
        for _ in range(generator.randint(0, _MAX_CHUNKS))
    ]
    encoded = b''.join(b'%x\r\n%b\r\n' % (len(c), c) for c in chunks)
    return b''.join(chunks), encoded + b'0\r\n\r\n' + _NEXT_REQUEST


def _decode(data, next_size):
    """Return the content, and what was not used."""
    decoder = chunked.Decoder()
    content = b''
    while data and not decoder.is_complete:
        size = next_size()
        part, used = decoder.decode(data[:size])
        assert decoder.is_complete or used == len(data[:size])
        content += part
        data = data[used:]
    return content, data
