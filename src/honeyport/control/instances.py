"""Poller of the platform's list of leaving instances.

Only the leader reads the list, which may be out of date; routers learn from
the leader which instances are leaving.
"""

import asyncio
import json

from tornado import httpclient

from honeyport.control import replica
from honeyport.control import sessions

_POLL_INTERVAL_S = 0.5
_TIMEOUT_S = 2.0


class Poller:
    """Reads the list while this replica leads.

    :param address: ``IP:PORT`` of the list's HTTP server
    :param routers: the streams whose fleet gets the states
    """

    def __init__(
        self,
        address: str,
        node: replica.Replica,
        routers: sessions.Sessions,
    ) -> None:
        self._url = f'http://{address}/instances'
        self._node = node
        self._sessions = routers

    async def run(self) -> None:
        """Poll until cancelled."""
        client = httpclient.AsyncHTTPClient()
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            if not self._node.leads:
                continue
            try:
                response = await client.fetch(
                    self._url, request_timeout=_TIMEOUT_S
                )
                states = json.loads(response.body)
            except (OSError, httpclient.HTTPError, ValueError):
                continue
            self._sessions.fleet.set_platform_states(states)
