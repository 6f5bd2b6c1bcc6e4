"""Costs of single operations at the size of the target fleet."""

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
_ROUTERS_PER_DOMAIN = 46
_ENGINES_PER_MODEL = 766
_REPETITIONS = 200


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

    figures['apply_change_ms'] = _cpu_ms(apply, _REPETITIONS)
    figures['join_snapshot_ms'] = _cpu_ms(
        lambda: entries.EntrySet(
            entries.to_entries(entries.from_entries(1, items))
        ),
        3,
    )
    figures['snapshot_kb'] = len(packed.pack_snapshot(items)) / 1000
    domain_routers = [
        f'router-{number}' for number in range(_ROUTERS_PER_DOMAIN)
    ]
    engines = [f'engine-{number}' for number in range(_ENGINES)]

    def find_stewarded() -> None:
        for engine in engines:
            hashing.is_top_ranked('router-3', engine, domain_routers)

    figures['regard_view_ms'] = _cpu_ms(find_stewarded, 10)
    model_engines = engines[:_ENGINES_PER_MODEL]
    figures['rank_ms'] = _cpu_ms(
        lambda: hashing.rank('chat-17', model_engines, 6), _REPETITIONS
    )
    figures['rank_40_ms'] = _cpu_ms(
        lambda: hashing.rank('chat-17', model_engines[:40], 6), _REPETITIONS
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


def _cpu_ms(operation: typing.Callable[[], object], repetitions: int) -> float:
    """Return the mean processor time of a call in milliseconds.

    The first call is not counted.
    """
    operation()
    started = time.process_time()
    for _ in range(repetitions):
        operation()
    return (time.process_time() - started) * 1000 / repetitions
