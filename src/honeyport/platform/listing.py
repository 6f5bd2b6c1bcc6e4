"""The platform's list of the instances of backend servers, page by page."""

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

# A list that has not come by then is asked for again at the next period.
_TIMEOUT_S = 0.8
_MOST_PAGES = 200  # 50 instances a page: twice the largest fleet known
# A list of so many pages is read in the order of its pages: each zone that is
# read by itself costs a call at least.
_FEW_PAGES = 4


def source(address: str, zones: tuple[str, ...] = ()) -> catalog.Source:
    """Return what reads the list at an address.

    :param zones: all there are; a long list is read one of them at a time, all
        at once
    """
    return _Reader(address, zones).read


class _Reader:
    """Reads the list again and again.

    Pages follow one another. Before 3,000 instances these are 60, and a leader
    that had just been elected named no instance for 1.45 s.
    """

    def __init__(self, address: str, zones: tuple[str, ...]) -> None:
        self._address = address
        self._zones = zones
        self._is_long = False
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True
        )

    async def read(self) -> readings.Reading:
        """Read all pages, or those before one that cannot be read.

        :raises errors.ListUnreadable: if that is the first one
        """
        if not self._is_long:
            part = await self._read_part('', _FEW_PAGES)
            is_long = part.pages == _FEW_PAGES and not part.is_whole
            if not is_long or not self._zones:
                return _reading([part])
        parts = await asyncio.gather(
            *(self._read_part(zone, _MOST_PAGES) for zone in self._zones)
        )
        self._is_long = sum(part.pages for part in parts) > _FEW_PAGES
        if not any(part.pages for part in parts):
            again_s = max(part.again_s for part in parts)
            raise errors.ListUnreadable(
                parts[0].missing, retry_after=again_s or None
            )
        return _reading(parts)

    async def _read_part(self, zone: str, most: int) -> '_Part':
        """Read the pages of one zone, or of all of them."""
        part = _Part()
        token = ''
        limit = most if self._zones else _MOST_PAGES
        while part.pages < limit:
            try:
                page = await self._page(zone, token)
            except errors.ListUnreadable as error:
                if not zone and not part.pages:
                    raise
                part.missing = error.detail
                part.again_s = error.retry_after or 0.0
                return part
            part.pages += 1
            part.decoded += [entries.decode(entry) for entry in page.entries]
            token = page.next
            if not token:
                part.is_whole = True
                return part
        part.missing = f'more than {limit} pages'
        return part

    async def _page(self, zone: str, token: str) -> entries.Page:
        query = {'zone': zone, 'page_token': token}
        named = {key: value for key, value in query.items() if value}
        url = f'http://{self._address}/instances'
        if named:
            url += '?' + urllib.parse.urlencode(named)
        try:
            response = await self._client.fetch(
                url, request_timeout=_TIMEOUT_S, connect_timeout=_TIMEOUT_S
            )
            return entries.decode_page(response.body)
        except (OSError, httpclient.HTTPError, ValueError) as error:
            raise errors.ListUnreadable(
                f'{url}: {error!r}', retry_after=_again_s(error)
            ) from None


@attrs.define
class _Part:
    """What was read of one zone.

    :ivar missing: why the rest could not be read, or ``''``
    :ivar again_s: when the platform wants to be asked again; 0 for any time
    """

    decoded: list[pb.Instance | readings.RefusedEntry] = attrs.field(
        factory=list
    )
    pages: int = 0
    is_whole: bool = False
    missing: str = ''
    again_s: float = 0.0


def _again_s(error: Exception) -> float | None:
    """Return when the platform wants to be asked again, if it says so."""
    response = getattr(error, 'response', None)
    if response is None:
        return None
    text = response.headers.get('Retry-After', '')
    return retry_after.requested_s(response.code, text)


def _reading(parts: collections.abc.Collection[_Part]) -> readings.Reading:
    decoded = [one for part in parts for one in part.decoded]
    missing = [part.missing for part in parts if part.missing]
    return readings.Reading(
        instances=[one for one in decoded if isinstance(one, pb.Instance)],
        refusals=[
            one for one in decoded if isinstance(one, readings.RefusedEntry)
        ],
        missing='; '.join(missing),
        retry_after_s=max((part.again_s for part in parts), default=0.0),
    )
