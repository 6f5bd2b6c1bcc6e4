"""The operators' commands, which call the control replicas."""

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
from honeyport.wire import prompt_parts

_RPC_TIMEOUT_S = 5.0
_TOTAL_TIMEOUT_S = 15.0
_POLL_PAUSE_S = 0.2

RemoteCall = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[typing.Any]
]
StubFactory = collections.abc.Callable[[grpc.aio.Channel], typing.Any]


def sign(path: str, key: str, out: str) -> str:
    """Sign a bundle in YAML, or add a signature to a signed bundle.

    :param path: a YAML file, or a file that this function wrote
    :param key: file of the private key
    :param out: file for the signed bundle
    :returns: a summary to print, as all commands of this module do
    """
    if path.endswith(('.yaml', '.yml')):
        bundle = files.load(path)
        signed = signing.Signed(bundle.version, entries.to_entries(bundle), {})
    else:
        signed = _read_signed(path)
    signed = signing.sign(signed, key)
    pathlib.Path(out).write_text(signed.to_json(), encoding='utf-8')
    return f'{out}: version {signed.version}, digest {signed.digest}'


def diff(path: str, control: list[str]) -> str:
    """Return the difference from the accepted bundle, a line per entry."""
    bundle = files.load(path)
    answer = _leader_status(control)
    change = entries.diff(
        answer.version,
        dict(answer.entries),
        bundle.version,
        entries.to_entries(bundle),
    )
    lines = [f'version {change.base} -> {change.version}']
    for key in sorted(change.put):
        marker = '~' if key in answer.entries else '+'
        lines.append(f'{marker} {key} {change.put[key]}')
    lines += [f'- {key}' for key in change.removed]
    return '\n'.join(lines)


def submit(path: str, control: list[str], wait: bool) -> str:
    """Submit a signed bundle and return its receipt.

    :param wait: wait until every router with a lease applies the bundle
    """
    signed = _read_signed(path)
    signing.check(signed)
    request = pb.SubmitRequest(signed=signed.to_json())
    answer = asyncio.run(
        _call_leader(
            control, lambda stub: stub.Submit(request, timeout=_RPC_TIMEOUT_S)
        )
    )
    receipt = f'accepted version {answer.version}, digest {answer.digest}'
    if wait:
        receipt += '\n' + bundle_status(control, True)
    return receipt


def bundle_status(control: list[str], wait: bool) -> str:
    """Return the accepted version and the routers that lack it.

    :param wait: wait until every router with a lease applies it
    """
    answer = _leader_status(control)
    if wait:
        answer = asyncio.run(_wait_until_in_force(control, answer))
    state = 'in force' if answer.in_force else 'not in force everywhere yet'
    lines = [f'version {answer.version}, digest {answer.digest}: {state}']
    lines += [
        f'  {router.member.router} has {router.config_version}'
        for router in answer.routers
        if router.config_version != answer.version
    ]
    return '\n'.join(lines)


def history(control: list[str]) -> str:
    """Return the accepted versions and their digests."""
    answer = _leader_status(control)
    return '\n'.join(
        f'{receipt.version} {receipt.digest}' for receipt in answer.history
    )


def fleet_status(control: list[str]) -> str:
    """Return a table of routers and control replicas."""
    answer = _leader_status(control)
    lines = [
        f'leader {answer.leader}, term {answer.term}, commit {answer.commit}, '
        f'version {answer.version}'
    ]
    lines += [f'evacuated {domain}' for domain in answer.evacuated]
    for replica in answer.replicas:
        member = replica.replica
        role = 'voter' if member.voter else 'learner'
        lines.append(
            f'control {member.name:<16} {member.address:<21} {role:<8} '
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
    """Add or remove a control replica.

    :param address: its ``IP:PORT``; ``''`` removes the replica
    """
    request = pb.ChangeRequest(name=name, address=address)
    asyncio.run(
        _call_leader(
            control, lambda stub: stub.Change(request, timeout=_RPC_TIMEOUT_S)
        )
    )
    return f'{name}: {"added as a learner" if address else "removed"}'


def evacuate(control: list[str], domain: str, *, ends: bool) -> str:
    """Begin or end the evacuation of a failure domain.

    :param ends: end the evacuation instead of beginning it
    """
    request = pb.EvacuateRequest(domain=domain, ends=ends)
    asyncio.run(
        _call_leader(
            control,
            lambda stub: stub.Evacuate(request, timeout=_RPC_TIMEOUT_S),
        )
    )
    return f'{domain}: {"restored" if ends else "evacuated"}'


def suspects(control: list[str]) -> str:
    """Return a table of the suspected requests and their restrictions."""
    answer = asyncio.run(
        _call_leader(
            control,
            lambda stub: stub.List(
                pb.SuspectsRequest(), timeout=_RPC_TIMEOUT_S
            ),
            rpc.SuspicionStub,
        )
    )
    if not answer.suspects.suspects:
        return 'there are no suspected requests'
    instances = {record.request: record.instances for record in answer.records}
    return '\n'.join(
        f'{suspect.request.hex()} {_describe_restriction(suspect):<40} '
        f'ended {" ".join(instances[suspect.request])}'
        f'{_describe_parts(suspect)}'
        for suspect in answer.suspects.suspects
    )


def clear(control: list[str], fingerprint: str) -> str:
    """Lift the restrictions on a suspected request, or set of requests.

    :param fingerprint: the request's, or the key of the set, in hexadecimal
    :raises errors.UsageInvalid: if the fingerprint is malformed
    """
    try:
        fingerprint_bytes = bytes.fromhex(fingerprint)
    except ValueError:
        fingerprint_bytes = b''
    if len(fingerprint_bytes) != fingerprints.LENGTH_BYTES:
        raise errors.UsageInvalid(
            f'{fingerprint!r} is not a fingerprint: expected '
            f'{2 * fingerprints.LENGTH_BYTES} hexadecimal digits, as '
            '`fleet suspects` prints them'
        )
    request = pb.ClearRequest(request=fingerprint_bytes)
    answer = asyncio.run(
        _call_leader(
            control,
            lambda stub: stub.Clear(request, timeout=_RPC_TIMEOUT_S),
            rpc.SuspicionStub,
        )
    )
    return f'{fingerprint}: {"cleared" if answer.known else "not suspected"}'


def _describe_restriction(suspect: pb.Suspect) -> str:
    if not suspect.barred:
        return 'one at a time'
    if not suspect.back_ms:
        return 'refused until cleared'
    return f'refused, tried again in {suspect.back_ms / 1000:.0f} s'


def _describe_parts(suspect: pb.Suspect) -> str:
    part_set = prompt_parts.part_set_of(suspect)
    return '' if part_set is None else f' with the prompt parts {part_set}'


def _read_signed(path: str) -> signing.Signed:
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise errors.UsageInvalid(f'{path}: {error.strerror}') from None
    return signing.from_json(text)


def _leader_status(control: list[str]) -> pb.StatusAnswer:
    return asyncio.run(_call_leader(control, _get_status))


async def _get_status(stub: rpc.OperatorStub) -> pb.StatusAnswer:
    return await stub.Status(pb.StatusRequest(), timeout=_RPC_TIMEOUT_S)


async def _wait_until_in_force(
    control: list[str], answer: pb.StatusAnswer
) -> pb.StatusAnswer:
    async with asyncio.timeout(_TOTAL_TIMEOUT_S):
        while not answer.in_force:
            await asyncio.sleep(_POLL_PAUSE_S)
            answer = await _call_leader(control, _get_status)
    return answer


async def _call_leader(
    control: list[str], call: RemoteCall, stub: StubFactory = rpc.OperatorStub
) -> typing.Any:
    """Call the leader; try all replicas until it is found.

    The call may be sent several times, so it must be safe to repeat.

    :param control: addresses of control replicas
    :param call: sends the request through a stub
    :raises errors.HoneyportError: the error in the leader's answer
    :raises errors.ControlUnavailable: if no leader answered in time
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + _TOTAL_TIMEOUT_S
    addresses = list(control)
    while loop.time() < give_up_at:
        address = addresses.pop(0)
        addresses.append(address)
        answer = await _call_replica(address, call, stub)
        if answer is None:
            await asyncio.sleep(_POLL_PAUSE_S / 2)
            continue
        code = answer.failure.code
        if not code:
            return answer
        if code == errors.NotLeader.code:
            if answer.leader:
                addresses.insert(0, answer.leader)
            await asyncio.sleep(_POLL_PAUSE_S / 2)
        elif code != errors.CommitUnknown.code:
            raise errors.by_code(code)(answer.failure.detail)
    raise errors.ControlUnavailable(
        f'no leader answered; asked {", ".join(control)}'
    )


async def _call_replica(
    address: str, call: RemoteCall, stub: StubFactory
) -> typing.Any | None:
    channel = channels.connect(address)
    try:
        return await call(stub(channel))
    except grpc.aio.AioRpcError:
        return None
    finally:
        await channel.close()
