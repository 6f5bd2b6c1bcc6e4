"""The log line of each request: its outcome and timings."""

import asyncio
import typing

from honeyport import errors
from honeyport.gateway import balancer
from honeyport.gateway import exchanges
from honeyport.gateway import headers as gateway_headers
from honeyport.policy import obstacles
from honeyport.router import fleetstate
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.telemetry import metrics

# Prompt parts in the line of a request.
_MAX_LOGGED_PARTS = 16
# Characters of the load that an instance reported.
_MAX_LOGGED_LOAD = 48


class RequestLog:
    """Logs and counts finished requests.

    :param state: this instance's view of the fleet
    :param counters: metrics registry
    """

    def __init__(
        self, state: fleetstate.FleetState, counters: metrics.Metrics
    ) -> None:
        self._state = state
        self._metrics = counters

    def record(
        self,
        event: events.Event,
        request: gateway_headers.Request,
        exchange: exchanges.Exchange | None,
        error: errors.HoneyportError | None = None,
        *,
        origin: str = '',
    ) -> None:
        """Log the outcome of a request, and count it.

        :param event: how the request ended
        :param exchange: ``None`` if it was not admitted
        :param error: the error that was returned to the caller, if any
        :param origin: the gateway that the caller sent it to, or ``''`` for
            this one
        """
        elapsed_s = asyncio.get_running_loop().time() - request.received
        counter = 'requests_forwarded' if origin else 'requests'
        self._metrics.count(counter, outcome=event.name)
        self._metrics.observe('request_seconds', elapsed_s)
        if exchange is not None:
            self._metrics.observe('request_waited_seconds', exchange.waited_s)
        if exchange is not None and exchange.first_byte_s is not None:
            self._metrics.observe(
                'request_first_seconds', exchange.first_byte_s
            )
        fields: dict[str, typing.Any] = {
            'request': request.request_id,
            'took_ms': round(elapsed_s * 1000, 1),
            'lease_left_s': round(self._state.lease_left, 2),
        }
        if exchange is not None:
            fields |= {
                'route': exchange.match.name,
                'account': exchange.match.account,
                'config_version': exchange.version,
                'instances_version': self._state.instances.number,
                'service': exchange.service,
                'offers': exchange.offers,
                'fingerprint': exchange.fingerprint,
            } | exchange.timing_fields()
            if error is not None:
                fields['silent_ms'] = exchanges.to_ms(exchange.silent_s)
                if exchange.no_retry:
                    fields['no_retry'] = exchange.no_retry
            if error is not None and exchange.traits.parts:
                fields['parts'] = exchange.traits.parts[:_MAX_LOGGED_PARTS]
            if exchange.stream_version is not None:
                fields['stream_version'] = exchange.stream_version
            if exchange.parts:
                fields['prompt_tokens'] = sum(
                    part.tokens for part in exchange.parts
                )
            if exchange.reported_load:
                fields['reported_load'] = exchange.reported_load[
                    :_MAX_LOGGED_LOAD
                ]
            if exchange.framing:
                fields['framing'] = exchange.framing
                fields['gap_ms'] = exchange.match.route.gap_ms
            if exchange.via:
                fields['via'] = exchange.via
                fields['backend'] = exchange.remote_instance_id
                fields['version'] = exchange.attempt_version
            elif exchange.choice is not None:
                fields |= balancer.log_fields(exchange.choice)
        if origin:
            fields['origin'] = origin
        if error is not None:
            fields |= {'code': error.code, 'detail': error.detail}
        logs.emit(event, **fields)

    def record_budget_spent(self, exchange: exchanges.Exchange) -> None:
        """Log and count a request for which no retry is left."""
        logs.emit(
            events.ALLOWANCE_SPENT,
            request=exchange.request.request_id,
            service=exchange.service,
            offers=exchange.offers,
            gateways=len(self._state.serving_routers),
        )
        self._metrics.count('allowance_spent', service=exchange.service)

    def record_awaited(
        self, exchange: exchanges.Exchange, **fields: typing.Any
    ) -> None:
        """Log and count a silent attempt that goes on.

        :param fields: further fields of the line
        """
        logs.emit(
            events.SILENT_ANSWER_AWAITED,
            request=exchange.request.request_id,
            no_retry=exchange.no_retry,
            backend=exchange.current_instance_id,
            offers=exchange.offers,
            silent_ms=exchanges.to_ms(exchange.silent_s),
            **fields,
        )
        self._metrics.count('silent_awaited', reason=exchange.no_retry)
        if exchange.no_retry == obstacles.Obstacle.NO_BUDGET_LEFT:
            self.record_budget_spent(exchange)

    def record_failed_attempt(
        self,
        exchange: exchanges.Exchange,
        error: errors.HoneyportError,
        **fields: typing.Any,
    ) -> None:
        """Log and count an attempt that failed.

        :param fields: further fields of the line
        """
        logs.emit(
            events.ATTEMPT_FAILED,
            request=exchange.request.request_id,
            code=error.code,
            detail=error.detail,
            offers=exchange.offers,
            fingerprint=exchange.fingerprint,
            silent_ms=exchanges.to_ms(exchange.silent_s),
            **fields,
        )
        self._metrics.count('attempts_failed', code=error.code)
