"""What single pieces cost at the target's size, in this process."""

import time
import typing

from bench import registry
from honeyport.bundle import entries
from honeyport.bundle import model
from honeyport.bundle import packed
from honeyport.policy import hashing
from honeyport.wire import honeyport_pb2 as pb

_ENGINES = 4600
_ACCOUNTS = 8700
_ROUTERS = 370
_ROUTERS_NEAR = 46  # of one failure domain
_POOL = 766  # engines of one model
_TIMES = 200


@registry.register('pieces')
async def measure() -> registry.Figures:
    """Measure configuration, stewardship, ranking and message sizes."""
    figures: registry.Figures = {}
    bundle = _bundle()
    items = entries.to_entries(bundle)
    contents = entries.EntrySet(items)
    delta = entries.Delta(
        1, 2, {'accounts/account-5': '{"share":2.0}'}, ('accounts/account-6',)
    )

    def apply() -> None:
        contents.apply(delta).digest(2)
        entries.apply_delta(bundle, delta)

    figures['apply_change_ms'] = _milliseconds(apply, _TIMES)
    figures['join_snapshot_ms'] = _milliseconds(
        lambda: entries.EntrySet(
            entries.to_entries(entries.from_entries(1, items))
        ),
        3,
    )
    figures['snapshot_kb'] = len(packed.pack_snapshot(items)) / 1000
    near = [f'router-{number}' for number in range(_ROUTERS_NEAR)]
    engines = [f'engine-{number}' for number in range(_ENGINES)]

    def regard_view() -> None:
        for engine in engines:
            hashing.is_top_ranked('router-3', engine, near)

    figures['regard_view_ms'] = _milliseconds(regard_view, 10)
    pool = engines[:_POOL]
    figures['rank_ms'] = _milliseconds(
        lambda: hashing.rank('chat-17', pool, 6), _TIMES
    )
    figures['rank_40_ms'] = _milliseconds(
        lambda: hashing.rank('chat-17', pool[:40], 6), _TIMES
    )
    figures['view_kb'] = _view().ByteSize() / 1000
    return figures


def _bundle() -> model.Bundle:
    return model.Bundle(
        version=1,
        signers=model.Signers(keys={'ops': 'key'}),
        services={'s': model.Service(kind=model.ENGINE, model='m')},
        models={'m': model.Model(version='1')},
        backends={
            f'engine-{number}': model.Backend(
                service='s',
                address=f'10.1.{number // 250}.{number % 250}:8000',
                domain='thu-duc',
            )
            for number in range(_ENGINES)
        },
        accounts={
            f'account-{number}': model.Account() for number in range(_ACCOUNTS)
        },
    )


def _view() -> pb.View:
    view = pb.View(number=1 << 25)
    for number in range(_ROUTERS):
        view.members.add(
            router=f'router-{number}',
            incarnation='0123456789ab',
            domain='thu-duc',
            address=f'10.2.{number // 250}.{number % 250}:8080',
            peer_address=f'10.2.{number // 250}.{number % 250}:9090',
        )
    return view


def _milliseconds(run: typing.Callable[[], object], times: int) -> float:
    """Return the processor milliseconds of one run."""
    run()
    started = time.process_time()
    for _ in range(times):
        run()
    return (time.process_time() - started) * 1000 / times
