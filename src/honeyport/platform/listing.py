"""The platform's list of the instances of backend servers, page by page."""

import functools
import urllib.parse

from tornado import httpclient
from tornado import simple_httpclient

from honeyport.control import catalog
from honeyport import errors
from honeyport.platform import entries
from honeyport.policy import readings
from honeyport.wire import honeyport_pb2 as pb

# A list that has not come by then is asked for again at the next period.
_TIMEOUT_S = 0.8
_MOST_PAGES = 200  # 50 instances a page: twice the largest fleet known


def source(address: str) -> catalog.Source:
    """Return what reads the list at an address."""
    client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
    return functools.partial(_read, client, address)


async def _read(
    client: httpclient.AsyncHTTPClient, address: str
) -> readings.Reading:
    """Read all pages, or those before one that cannot be read.

    :raises errors.ListUnreadable: if that is the first one
    """
    decoded: list[pb.Instance | readings.Refusal] = []
    token = ''
    for number in range(_MOST_PAGES):
        try:
            page = await _page(client, address, token)
        except errors.ListUnreadable as error:
            if not number:
                raise
            return _reading(decoded, error.detail)
        decoded += [entries.decode(entry) for entry in page.entries]
        token = page.next
        if not token:
            return _reading(decoded, '')
    return _reading(decoded, f'more than {_MOST_PAGES} pages')


def _reading(
    decoded: list[pb.Instance | readings.Refusal], missing: str
) -> readings.Reading:
    return readings.Reading(
        instances=[one for one in decoded if isinstance(one, pb.Instance)],
        refusals=[one for one in decoded if isinstance(one, readings.Refusal)],
        missing=missing,
    )


async def _page(
    client: httpclient.AsyncHTTPClient, address: str, token: str
) -> entries.Page:
    url = f'http://{address}/instances'
    if token:
        url += '?' + urllib.parse.urlencode({'page_token': token})
    try:
        response = await client.fetch(
            url, request_timeout=_TIMEOUT_S, connect_timeout=_TIMEOUT_S
        )
        return entries.decode_page(response.body)
    except (OSError, httpclient.HTTPError, ValueError) as error:
        raise errors.ListUnreadable(f'{url}: {error!r}') from None
