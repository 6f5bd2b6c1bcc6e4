"""Reading of the platform's paginated list of backend server instances."""

import asyncio
import collections.abc
import urllib.parse

import attrs
from tornado import httpclient
from tornado import simple_httpclient

from honeyport.control import catalog
from honeyport import errors
from honeyport.platform import entries
from honeyport.policy import readings
from honeyport.policy import retry_after
from honeyport.wire import honeyport_pb2 as pb

_TIMEOUT_S = 0.8  # for each page
# Limit on the pages of a whole list, or of a zone; a page has 50 instances.
_MAX_PAGES = 200
# Longer lists are read by zone. Shorter ones are read in sequence, because a
# read by zone takes at least one call for each zone.
_MAX_SEQUENTIAL_PAGES = 4


def create_source(address: str, zones: tuple[str, ...] = ()) -> catalog.Source:
    """Return a function that reads the list at an address.

    :param zones: all zones; those of a long list are read concurrently
    """
    return _Reader(address, zones).read


class _Reader:
    """Reads the list repeatedly.

    Each page names the next, so that pages of one zone are read in sequence.
    Once a list was long, its zones are read concurrently from the start.
    """

    def __init__(self, address: str, zones: tuple[str, ...]) -> None:
        self._address = address
        self._zones = zones
        self._reads_by_zone = False
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True
        )

    async def read(self) -> readings.Reading:
        """Read all pages, or those before an unreadable one.

        :raises errors.ListUnreadable: if no page can be read
        """
        if not self._reads_by_zone:
            part = await self._read_part('', _MAX_SEQUENTIAL_PAGES)
            is_long = (
                part.pages == _MAX_SEQUENTIAL_PAGES and not part.is_complete
            )
            if not is_long or not self._zones:
                return _merge_parts([part])
        parts = await asyncio.gather(
            *(self._read_part(zone, _MAX_PAGES) for zone in self._zones)
        )
        self._reads_by_zone = (
            sum(part.pages for part in parts) > _MAX_SEQUENTIAL_PAGES
        )
        if not any(part.pages for part in parts):
            retry_after_s = max(part.retry_after_s for part in parts)
            raise errors.ListUnreadable(
                parts[0].missing, retry_after=retry_after_s or None
            )
        return _merge_parts(parts)

    async def _read_part(self, zone: str, max_pages: int) -> '_PartialReading':
        """Read the pages of one zone, or of all zones if it is ``''``."""
        part = _PartialReading()
        token = ''
        limit = max_pages if self._zones else _MAX_PAGES
        while part.pages < limit:
            try:
                page = await self._read_page(zone, token)
            except errors.ListUnreadable as error:
                if not zone and not part.pages:
                    raise
                part.missing = error.detail
                part.retry_after_s = error.retry_after or 0.0
                return part
            part.pages += 1
            part.decoded += [entries.decode(entry) for entry in page.entries]
            token = page.next
            if not token:
                part.is_complete = True
                return part
        part.missing = f'more than {limit} pages'
        return part

    async def _read_page(self, zone: str, token: str) -> entries.Page:
        query = {'zone': zone, 'page_token': token}
        parameters = {key: value for key, value in query.items() if value}
        url = f'http://{self._address}/instances'
        if parameters:
            url += '?' + urllib.parse.urlencode(parameters)
        try:
            response = await self._client.fetch(
                url, request_timeout=_TIMEOUT_S, connect_timeout=_TIMEOUT_S
            )
            return entries.decode_page(response.body)
        except (OSError, httpclient.HTTPError, ValueError) as error:
            raise errors.ListUnreadable(
                f'{url}: {error!r}', retry_after=_requested_delay_s(error)
            ) from None


@attrs.define
class _PartialReading:
    """The result of reading one zone, or the whole list in sequence.

    :ivar decoded: its entries, decoded or refused
    :ivar pages: the number of pages that were read
    :ivar is_complete: whether the last page was read
    :ivar missing: why the rest could not be read, or ``''``
    :ivar retry_after_s: the delay that the platform requested before the next
        reading, in seconds; 0 if none
    """

    decoded: list[pb.Instance | readings.RefusedEntry] = attrs.field(
        factory=list
    )
    pages: int = 0
    is_complete: bool = False
    missing: str = ''
    retry_after_s: float = 0.0


def _requested_delay_s(error: Exception) -> float | None:
    """Return the delay that a response requests, in seconds, if any."""
    response = getattr(error, 'response', None)
    if response is None:
        return None
    header = response.headers.get('Retry-After', '')
    return retry_after.requested_backoff_s(response.code, header)


def _merge_parts(
    parts: collections.abc.Collection[_PartialReading],
) -> readings.Reading:
    decoded = [entry for part in parts for entry in part.decoded]
    missing = [part.missing for part in parts if part.missing]
    return readings.Reading(
        instances=[
            entry for entry in decoded if isinstance(entry, pb.Instance)
        ],
        refused_entries=[
            entry
            for entry in decoded
            if isinstance(entry, readings.RefusedEntry)
        ],
        missing_reason='; '.join(missing),
        retry_after_s=max((part.retry_after_s for part in parts), default=0.0),
    )
