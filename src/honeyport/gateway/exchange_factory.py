"""Creates the exchange of a request that the configuration admits."""

import math

from honeyport.bundle import model
from honeyport import errors
from honeyport.gateway import exchanges
from honeyport.gateway import forwarded
from honeyport.gateway import headers as gateway_headers
from honeyport.gateway import lease_gate
from honeyport.gateway import routes
from honeyport.gateway import stream_directory
from honeyport.policy import begun_streams
from honeyport.policy import fingerprints
from honeyport.policy import repeats
from honeyport.router import fleetstate

# Retry-After for refusals without a specific time, in seconds.
_RETRY_AFTER_S = 0.3


class ExchangeFactory:
    """Finds the routes of requests and creates their exchanges.

    :param state: this instance's view of the fleet
    :param gate: admits requests while the lease is valid
    :param budgets: retry budgets by service
    :param streams: knows which software versions began streams
    """

    def __init__(
        self,
        state: fleetstate.FleetState,
        gate: lease_gate.LeaseGate,
        budgets: repeats.RetryBudgets,
        streams: stream_directory.StreamDirectory,
    ) -> None:
        self._state = state
        self._gate = gate
        self._budgets = budgets
        self._streams = streams
        self._table: routes.Table | None = None

    def find_timeout_s(self, host: str, path: str, api_key: str) -> float:
        """Return the timeout of a request's route, in seconds.

        :returns: ``inf`` as long as there is no configuration
        :raises errors.UnknownRoute: if no route matches
        :raises errors.UnknownKey: if no client account holds the API key
        """
        try:
            table = self._current_table()
        except errors.NotReady:
            return math.inf  # there may be one by the end of the body
        return table.find(host, path, api_key).route.timeout_ms / 1000

    async def create(
        self, request: gateway_headers.Request, reply: exchanges.Reply
    ) -> exchanges.Exchange:
        """Return the exchange of a request of a caller.

        :raises errors.HoneyportError: if the configuration does not admit it
        """
        table = self._current_table()
        match = table.find(request.host, request.path, request.api_key)
        timeout_s = match.route.timeout_ms / 1000
        origin = await self._find_origin(request, match)
        service = (
            origin.service if origin else routes.pick_service(match.route)
        )
        self._budgets.record_request(service, request.received)
        return exchanges.Exchange(
            request,
            reply,
            match,
            service,
            min(request.deadline, request.received + timeout_s),
            table.version,
            fingerprints.compute(
                match.account, request.host, request.target, request.body
            ),
            stream_version=origin.version if origin else None,
            on_begun=self._record_stream,
        )

    def create_forwarded(
        self, request: gateway_headers.Request, reply: forwarded.PeerReply
    ) -> exchanges.Exchange:
        """Return the exchange of a request that another gateway admitted.

        :raises errors.NotReady: if the configuration here is older, or has no
            such route, client account or service
        """
        call = reply.call
        table = self._current_table()
        if table.version < call.config_version:
            raise errors.NotReady(
                f'version {call.config_version} is not in force here yet',
                retry_after=_RETRY_AFTER_S,
            )
        try:
            match = table.find_by_name(call.route, call.account)
        except (errors.UnknownRoute, errors.UnknownAccount) as error:
            raise errors.NotReady(
                f'version {table.version} does not admit it: {error.detail}',
                retry_after=_RETRY_AFTER_S,
            ) from None
        if call.service not in match.route.weights:
            raise errors.NotReady(
                f'version {table.version} routes {call.route} elsewhere',
                retry_after=_RETRY_AFTER_S,
            )
        return exchanges.Exchange(
            request,
            reply,
            match,
            call.service,
            call.deadline,
            table.version,
            fingerprints.compute(
                match.account, request.host, request.target, request.body
            ),
            origin=call.origin,
            tried=set(call.tried),
            offers=call.offers,
            stream_version=call.version,
            # The caller's gateway has counted the attempt that follows.
            possible_runs=call.attempt - 1,
            runs_before=call.attempt - 1,
        )

    def check_admitted(self, exchange: exchanges.Exchange) -> None:
        """Check that the configuration still admits a request.

        Called for each attempt: routes and keys may have been removed.

        :raises errors.HoneyportError: if it does not
        """
        request = exchange.request
        table = self._current_table()
        if not exchange.origin:
            table.find(request.host, request.path, request.api_key)

    def _current_table(self) -> routes.Table:
        """Return the routes of the configuration in force.

        :raises errors.NotReady: without a configuration or a lease
        """
        self._gate.check_lease()
        bundle = self._state.bundle
        if self._table is None or self._table.version != bundle.version:
            self._table = routes.Table(bundle)
        return self._table

    async def _find_origin(
        self, request: gateway_headers.Request, match: routes.Match
    ) -> stream_directory.Origin | None:
        """Return what began the stream that a request takes up, if any.

        :raises errors.StreamUnknown: if that is not known, or if the route no
            longer leads there
        """
        route = match.route
        # Without the id of a request, its caller takes some stream up.
        takes_up = request.resumes or (
            route.resumable and request.last_event_id
        )
        if not takes_up or route.semantics != model.STREAMING:
            return None
        origin = await self._streams.find(request, match)
        if origin.service not in route.weights:
            raise errors.StreamUnknown(
                f'the stream began at {origin.service}, which {match.name} no '
                'longer leads to',
                retry_after=_RETRY_AFTER_S,
            )
        return origin

    def _record_stream(self, exchange: exchanges.Exchange) -> None:
        """Record the version of a stream that its caller may resume."""
        request = exchange.request
        if not exchange.match.route.resumable or not request.request_id:
            return
        self._streams.record(
            begun_streams.BegunStream(
                request.request_id,
                exchange.service,
                exchange.attempt_version,
                request.deadline,
            ),
            exchange.match.route.timeout_ms / 1000,
        )
