"""The operators' verbs: what the command line does with control."""

import asyncio
import collections.abc
import pathlib
import typing

import grpc

from honeyport.bundle import entries
from honeyport.bundle import files
from honeyport.bundle import signing
from honeyport import errors
from honeyport.policy import fingerprints
from honeyport.wire import channels
from honeyport.wire import honeyport_pb2 as pb
from honeyport.wire import honeyport_pb2_grpc as rpc

_TIMEOUT_S = 5.0
_PATIENCE_S = 15.0
_PAUSE_S = 0.2

Ask = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[typing.Any]
]
Stub = collections.abc.Callable[[grpc.aio.Channel], typing.Any]


def sign(path: str, key: str, out: str) -> str:
    """Sign a bundle in YAML, or add a signature to a signed one."""
    if path.endswith(('.yaml', '.yml')):
        bundle = files.load(path)
        signed = signing.Signed(bundle.version, entries.to_entries(bundle), {})
    else:
        signed = _read(path)
    signed = signing.sign(signed, key)
    pathlib.Path(out).write_text(signed.to_json(), encoding='utf-8')
    return f'{out}: version {signed.version}, digest {signed.digest}'


def diff(path: str, control: list[str]) -> str:
    """Return what a bundle would change, a line for each entry."""
    bundle = files.load(path)
    answer = _status(control)
    change = entries.diff(
        answer.version,
        dict(answer.entries),
        bundle.version,
        entries.to_entries(bundle),
    )
    lines = [f'version {change.base} -> {change.version}']
    for key in sorted(change.put):
        sign_ = '~' if key in answer.entries else '+'
        lines.append(f'{sign_} {key} {change.put[key]}')
    lines += [f'- {key}' for key in change.removed]
    return '\n'.join(lines)


def submit(path: str, control: list[str], wait: bool) -> str:
    """Submit a signed bundle until there is a receipt."""
    signed = _read(path)
    signing.check(signed)
    request = pb.SubmitRequest(signed=signed.to_json())
    answer = asyncio.run(
        _ask(control, lambda stub: stub.Submit(request, timeout=_TIMEOUT_S))
    )
    receipt = f'accepted version {answer.version}, digest {answer.digest}'
    if wait:
        receipt += '\n' + bundle_status(control, True)
    return receipt


def bundle_status(control: list[str], wait: bool) -> str:
    """Return the accepted version and how far it has got."""
    answer = _status(control)
    if wait:
        answer = asyncio.run(_await_force(control, answer))
    state = 'in force' if answer.in_force else 'not in force everywhere yet'
    lines = [f'version {answer.version}, digest {answer.digest}: {state}']
    lines += [
        f'  {router.member.router} has {router.config_version}'
        for router in answer.routers
        if router.config_version != answer.version
    ]
    return '\n'.join(lines)


def history(control: list[str]) -> str:
    """Return the accepted versions."""
    answer = _status(control)
    return '\n'.join(
        f'{receipt.version} {receipt.digest}' for receipt in answer.history
    )


def fleet_status(control: list[str]) -> str:
    """Return a table of routers and control replicas."""
    answer = _status(control)
    lines = [
        f'leader {answer.leader}, term {answer.term}, commit {answer.commit}, '
        f'version {answer.version}'
    ]
    lines += [f'evacuated {domain}' for domain in answer.evacuated]
    for replica in answer.replicas:
        member = replica.replica
        kind = 'voter' if member.voter else 'learner'
        lines.append(
            f'control {member.name:<16} {member.address:<21} {kind:<8} '
            f'has {replica.matched}'
        )
    for router in answer.routers:
        member = router.member
        state = 'leaving' if member.leaving else 'live'
        lines.append(
            f'router  {member.router:<16} {member.address:<21} {state:<8} '
            f'version {router.config_version}, silent {router.silent_s:.1f} s'
        )
    return '\n'.join(lines)


def change_membership(control: list[str], name: str, address: str) -> str:
    """Add or remove a control replica."""
    request = pb.ChangeRequest(name=name, address=address)
    asyncio.run(
        _ask(control, lambda stub: stub.Change(request, timeout=_TIMEOUT_S))
    )
    return f'{name}: {"added as a learner" if address else "removed"}'


def evacuate(control: list[str], domain: str, *, ends: bool) -> str:
    """Begin or end the evacuation of a failure domain."""
    request = pb.EvacuateRequest(domain=domain, ends=ends)
    asyncio.run(
        _ask(control, lambda stub: stub.Evacuate(request, timeout=_TIMEOUT_S))
    )
    return f'{domain}: {"taken back" if ends else "evacuated"}'


def suspects(control: list[str]) -> str:
    """Return a table of the requests that are held back."""
    answer = asyncio.run(
        _ask(
            control,
            lambda stub: stub.List(pb.SuspectsRequest(), timeout=_TIMEOUT_S),
            rpc.SuspicionStub,
        )
    )
    if not answer.suspects.suspects:
        return 'no request is held back'
    instances = {one.request: one.instances for one in answer.records}
    return '\n'.join(
        f'{one.request.hex()} {_state(one):<40} '
        f'ended {" ".join(instances[one.request])}'
        for one in answer.suspects.suspects
    )


def clear(control: list[str], fingerprint: str) -> str:
    """Let a request run again that was held back."""
    try:
        named = bytes.fromhex(fingerprint)
    except ValueError:
        named = b''
    if len(named) != fingerprints.LENGTH_BYTES:
        raise errors.UsageInvalid(
            f'{fingerprint!r} is no fingerprint: '
            f'{2 * fingerprints.LENGTH_BYTES} hexadecimal digits, as '
            '`fleet suspects` shows them'
        )
    request = pb.ClearRequest(request=named)
    answer = asyncio.run(
        _ask(
            control,
            lambda stub: stub.Clear(request, timeout=_TIMEOUT_S),
            rpc.SuspicionStub,
        )
    )
    return f'{fingerprint}: {"cleared" if answer.known else "not held back"}'


def _state(suspect: pb.Suspect) -> str:
    if not suspect.barred:
        return 'one at a time'
    if not suspect.back_ms:
        return 'refused until it is cleared'
    return f'refused, tried again in {suspect.back_ms / 1000:.0f} s'


def _read(path: str) -> signing.Signed:
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise errors.UsageInvalid(f'{path}: {error.strerror}') from None
    return signing.from_json(text)


def _status(control: list[str]) -> pb.StatusAnswer:
    return asyncio.run(_ask(control, _ask_status))


async def _ask_status(stub: rpc.OperatorStub) -> pb.StatusAnswer:
    return await stub.Status(pb.StatusRequest(), timeout=_TIMEOUT_S)


async def _await_force(
    control: list[str], answer: pb.StatusAnswer
) -> pb.StatusAnswer:
    async with asyncio.timeout(_PATIENCE_S):
        while not answer.in_force:
            await asyncio.sleep(_PAUSE_S)
            answer = await _ask(control, _ask_status)
    return answer


async def _ask(
    control: list[str], ask: Ask, stub: Stub = rpc.OperatorStub
) -> typing.Any:
    """Ask the leader, wherever it is; the same is asked again safely.

    :raises errors.HoneyportError: what the leader answered
    :raises errors.ControlUnavailable: if none was found in time
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + _PATIENCE_S
    addresses = list(control)
    while loop.time() < until:
        address = addresses.pop(0)
        addresses.append(address)
        answer = await _ask_one(address, ask, stub)
        if answer is None:
            await asyncio.sleep(_PAUSE_S / 2)
            continue
        code = answer.failure.code
        if not code:
            return answer
        if code == errors.NotLeader.code:
            if answer.leader:
                addresses.insert(0, answer.leader)
            await asyncio.sleep(_PAUSE_S / 2)
        elif code != errors.CommitUnknown.code:
            raise errors.by_code(code)(answer.failure.detail)
    raise errors.ControlUnavailable(
        f'no leader answered at {", ".join(control)}'
    )


async def _ask_one(address: str, ask: Ask, stub: Stub) -> typing.Any | None:
    channel = channels.connect(address)
    try:
        return await ask(stub(channel))
    except grpc.aio.AioRpcError:
        return None
    finally:
        await channel.close()
