"""Responses of instances: which are passed on, and what failed ones mean."""

import collections.abc

from honeyport import errors
from honeyport.gateway import attempt
from honeyport.gateway import exchanges
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import silence_watch
from honeyport.policy import silence

# Retry-After for refusals without a specific time, in seconds.
_RETRY_AFTER_S = 0.3
_MISDIRECTED_STATUS = 421
# Statuses that callers take as "the request was not run".
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MIN_FAILURE_STATUS = 500

# Sends a request and returns the response.
Send = collections.abc.Callable[
    [], collections.abc.Awaitable[attempt.Response]
]


async def watch_silence(
    exchange: exchanges.Exchange, send: Send
) -> attempt.Response:
    """Send a request and return the response.

    :raises errors.BackendSilent: if nothing arrives in time and the next
        attempt is reserved
    """
    timeouts = None
    if exchange.may_repeat:
        timeouts = silence.timeouts(exchange.match.route)
    try:
        async with silence_watch.SilenceWatch(
            timeouts, exchange.seek
        ) as exchange.watch:
            return await send()
    except TimeoutError:
        raise errors.BackendSilent(
            f'no bytes received in time: {timeouts}'
        ) from None
    finally:
        exchange.watch = None


def check(
    exchange: exchanges.Exchange,
    response: attempt.Response,
    names: gateway_headers.HeaderNames,
) -> attempt.Response:
    """Return the response if it may be passed on.

    :raises errors.NotExecuted: if the instance did not run the request
    :raises errors.AttemptFailed: if the request ran and failed
    """
    head = response.head
    if head.status == _MISDIRECTED_STATUS:
        exchange.possible_runs -= 1
        raise errors.Misdirected(retry_after=_RETRY_AFTER_S)
    if names.not_run in head.headers:
        exchange.possible_runs -= 1
        raise errors.NotExecuted(
            f'status {head.status}', retry_after=_RETRY_AFTER_S
        )
    has_not_run_status = head.status in _NOT_RUN_STATUSES
    is_started = exchange.reply.is_started
    if is_started and not response.is_relayed:
        raise errors.AttemptFailed(
            f'status {head.status} without events, but a stream goes on'
        )
    if head.status < _MIN_FAILURE_STATUS and not has_not_run_status:
        return response
    # Without the header, a status that callers take as "not run" is not
    # passed on: the request may have run.
    if not has_not_run_status and not is_started:
        exchange.failed_response = response
        if not exchange.may_repeat and may_pass_on_failure(exchange):
            return response
    raise errors.AttemptFailed(f'status {head.status}')


async def write(
    exchange: exchanges.Exchange, response: attempt.Response
) -> None:
    """Pass on a response, or the end of a stream that was passed on."""
    if not response.is_relayed:
        await exchange.reply.send_response(response.head, response.body)
        return
    partial = exchange.splitter.partial()
    if partial:
        await exchange.reply.write(partial)
    await exchange.reply.end()


def may_pass_on_failure(exchange: exchanges.Exchange) -> bool:
    """Whether the last attempt left an error response to pass on.

    Another gateway would count it as one attempt.
    """
    if exchange.origin and exchange.own_runs > 1:
        return False
    return exchange.failed_response is not None


def error_for_all_attempts(
    exchange: exchanges.Exchange, error: errors.HoneyportError
) -> errors.HoneyportError:
    """Return an error that holds for all attempts, not only the last.

    Without it, a refusal of the last attempt would say "not run" though an
    earlier attempt may have run. A gateway that forwards the request for
    another one reports its own attempts; if there were several, the other one
    makes none.
    """
    if exchange.origin and exchange.own_runs > 1:
        return errors.AttemptsSpent(
            f'{exchange.own_runs} attempts; the last one: {error.detail}'
        )
    if exchange.origin and not exchange.own_runs:
        return error
    if error.ran is False and exchange.may_have_run:
        return errors.BackendLost(
            f'an earlier attempt may have run; last attempt: {error.detail}'
        )
    return error
