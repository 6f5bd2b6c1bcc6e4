"""All keys are taken away, the last client account with them."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import site_2 as site  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE = 'wuno96b'
REVOCATION_S = 5.0
OTHER_TENANT = 'lehu333'
NEVER_HELD = 'q' * 20


class Replica(site.Replica):
    """Keeps what each run was sent with."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.tenants = {}

    async def run(self, message, writer):
        headers = message[2]
        self.tenants[headers['attempt-id']] = headers.get('tenant')
        await super().run(message, writer)


async def send(place, record, key, what):
    """Send a request with a key to each machine.

    :returns: how many ran
    """
    runs = 0
    for node in place.nodes:
        attempt_id, status, _, _ = await place.request(
            node, '/puxa403/2f', {'Authorization': f'Bearer {key}'}
        )
        tenants = [
            replica.tenants[attempt_id]
            for replica in place.replicas
            if attempt_id in replica.tenants
        ]
        runs += bool(tenants)
        record.add(
            f'{what}: sent {attempt_id} to {node.name}, answered {status}, '
            f'{"run with Tenant " + str(tenants[0]) if tenants else "not run"}'
        )
    return runs


async def run(record):
    place = site.Site(record, core=3, others=2)
    try:
        for zone in site.ZONES:
            await place.add_replica(Replica(record, SERVICE, zone))
        await place.start()
        routes = [
            site.route('/puxa403/', SERVICE, 'idempotent', max_attempts=2)
        ]
        services = [site.service(SERVICE)]
        first = site.configuration(1, routes, services)
        status = await place.replace(first)
        if status != 200 or not await place.wait_ready():
            record.add('the system did not start')
            return 2
        before = await send(place, record, site.KEY, 'held')
        unknown = await send(place, record, NEVER_HELD, 'never held')
        if before != len(place.nodes) or unknown:
            record.add('keys were not checked before the change')
            return 2
        second = site.configuration(2, routes, services)
        if TROUBLE:
            second['tenants'] = []
        else:
            second['tenants'] = [
                {'name': OTHER_TENANT, 'api_keys': [site.name(20)],
                 'priority': 1}
            ]
        status = await place.replace(second)
        confirmed_at = time.monotonic()
        record.add(f'version 2 with tenants {second["tenants"]}: {status}')
        if status in (400, 409, 412, 413, 422):
            record.add('held: the change was refused')
            return 0
        if status != 200:
            return 2
        await asyncio.sleep(REVOCATION_S + 1.0)
        taken = await send(place, record, site.KEY, 'taken away')
        unknown = await send(place, record, NEVER_HELD, 'never held')
        record.add(
            f'{time.monotonic() - confirmed_at:.1f} s after the confirmation: '
            f'{taken} of {len(place.nodes)} requests with the key that was '
            f'taken away ran, {unknown} with a key that no configuration held'
        )
        if taken or unknown:
            record.add('CONFIG is broken' if taken else 'ROUTE is broken')
            return 1
        record.add('held')
        return 0
    finally:
        await place.stop()


def main():
    record = site.Record(FOLDER)
    try:
        try:
            status = asyncio.run(run(record))
        except Exception as error:  # the case itself did not run
            record.add(f'could not run: {error!r}')
            status = 2
        record.add(f'exit {status}')
    finally:
        record.close()
    return status


if __name__ == '__main__':
    sys.exit(main())
