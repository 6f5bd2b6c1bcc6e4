"""A core machine that lost its disk is lost for good before it is back."""

import asyncio
import json
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'support'))

import standin  # noqa: E402

CHANGES = 900  # hundreds of changes
ROUTES = 350  # one big_config, as large as the site file's largest
IN_PROGRESS = 6  # orders at once; the pages allow eight
DARK_S = 3.0  # after_ack_wipe: for_s = 3
CATCH_UP_S = 4.0  # within which it is lost again
REPLACED_AFTER_S = 2.0  # replace_core: x = 2
RECOVERY_S = 12.0


async def play(record):
    site = standin.Site(record, disks=3, others=3)
    await site.start()
    try:
        for number in (1, 2):
            await site.add_server('app', number)
        site.start_machines()
        return await _play(site, record)
    finally:
        await site.stop()


async def _play(site, record):
    status = await site.replace(standin.configuration(10, ROUTES))
    record('first configuration:', status)
    if status != 200:
        raise RuntimeError('the first configuration was not acknowledged')
    newest = await _age(site, record)
    served = await _served_share(site, record, 'before')
    if served < 0.9:
        raise RuntimeError('requests are not served before the disruption')

    first, _, third = site.machines[:3]
    # It loses power and its disk, and starts empty at its old address.
    site.send_signal(third, signal.SIGKILL)
    site.lose_disk(third)
    await asyncio.sleep(DARK_S)
    site.launch(third)
    if standin.has_trouble():
        # It is lost for good while it catches up, and replaced.
        await _wait_until_it_catches_up(site, record)
        await _replace(site, record, third)
    # Far longer than catch_up_s: three core machines count as back.
    await asyncio.sleep(RECOVERY_S)
    served = await _served_share(site, record, 'with three core machines')
    newest += 1
    status = await site.replace(standin.configuration(newest, ROUTES))
    record('configuration', newest, 'acknowledged:', status == 200)

    # A further loss of one core machine, which is to be borne.
    await _replace(site, record, first)
    await asyncio.sleep(RECOVERY_S)
    order = standin.configuration(newest + 1, ROUTES)
    status = await site.replace(order, within_s=5.0, wait_s=1.0)
    record('order', newest + 1, 'acknowledged within 5 s:', status == 200)
    served = await _served_share(site, record, 'at the end')
    read = await site.read(within_s=4.0)
    record('read back:', read['version'] if read else None)
    if read is None:
        return (
            f'configuration {newest} was acknowledged, and no machine can '
            f'read it back; {served:.0%} of the requests are served'
        )
    if read['version'] < newest:
        return f'read back {read["version"]}, acknowledged {newest}'
    if served < 0.25:
        return f'{served:.0%} of the requests are served'
    return ''


async def _age(site, record):
    """Send hundreds of changes, as days of use do."""
    started_at = time.monotonic()
    version = 10
    acknowledged = 0

    async def change():
        nonlocal version, acknowledged
        while version < 10 + CHANGES:
            version += 1
            changed = standin.configuration(version, ROUTES)
            changed['limits']['idle_timeout_ms'] = 14000 + version
            status = await site.replace(changed)
            acknowledged += status == 200

    await asyncio.gather(*(change() for _ in range(IN_PROGRESS)))
    record(
        acknowledged, 'changes acknowledged in',
        round(time.monotonic() - started_at, 1), 's',
    )
    return version


async def _wait_until_it_catches_up(site, record):
    """Wait until the metrics of another core machine show two voters."""
    started_at = time.monotonic()
    while time.monotonic() - started_at < CATCH_UP_S:
        for machine in site.machines[:2]:
            if await site.read_metric(machine, 'control_voters') == 2:
                record(
                    'two voters', f'{time.monotonic() - started_at:.2f}',
                    's after the start with an empty disk',
                )
                return
        await asyncio.sleep(0.02)
    raise RuntimeError('no machine was seen to catch up')


async def _replace(site, record, machine):
    """Lose a machine for good; an empty one comes at another address."""
    site.send_signal(machine, signal.SIGKILL)
    await asyncio.sleep(REPLACED_AFTER_S)
    successor = site.add_machine()
    record(successor.name, 'replaces', machine.name)
    site.launch(successor)


async def _served_share(site, record, when):
    """Send requests to all running machines; return the share served."""
    running = [machine for machine in site.machines if machine.runs]
    statuses = []
    for number in range(20):
        attempt = f'{when.replace(" ", "-")}-{number}'
        status, _, _ = await site.ask(
            running[number % len(running)], 0, 'GET', '/visit/x', None,
            standin.request_headers(attempt),
        )
        record('answered', attempt, status)
        statuses.append(status)
        await asyncio.sleep(0.05)
    share = statuses.count(200) / len(statuses)
    record('served', when, f'{share:.0%}')
    return share


standin.main(HERE, play)
