"""Steps about the socket that is opened before the program is imported."""

import asyncio
import os
import signal
import subprocess
import sys

import behave

from features.steps import gateway_steps
from features.steps import platform_steps
from features.support import caller
from honeyport.platform import early
from honeyport.settings import roles

_TAKEN = '192.0.2.1:80'  # of a network that no machine here is part of
_START_S = 1.0
# Longer than the pause between two looks at the settings file, 2 s.
_READ_S = 5.0
_FAULTS = {
    "has no callers' address": 'zone=thu-duc\n',
    'has an address of others': f'listen.frontend={_TAKEN}\n',
}


def open_early(context, text):
    """Open the socket that a settings file names."""
    path = context.folder / 'boot'
    if text is not None:
        path.write_text(text)
    os.environ[early.PATH_VARIABLE] = str(path)
    early.listen()


@behave.given('a gateway that is about to start')
def step_about(context):
    context.fixture = gateway_steps.GatewayFixture(['answer'])


@behave.when('its socket is opened early, and a caller sends a request')
def step_open_send(context):
    address = context.fixture.address
    open_early(context, f'zone=thu-duc\nlisten.frontend={address}\n')

    async def send():
        reader, writer = await asyncio.open_connection(
            *roles.split_address(address)
        )
        writer.write(caller.request())
        return reader, writer

    context.reader, context.writer = context.run(send())


@behave.when('the gateway starts on that socket')
def step_start(context):
    fixture = context.fixture

    async def start():
        opened = early.take_socket(fixture.address)
        assert opened is not None
        await fixture.start_unconfigured(opened)
        fixture.make_ready('idempotent')
        context.response = await caller.read(context.reader)
        context.writer.close()

    context.run(start())
    context.to_stop.append(fixture.stop)


@behave.given('a settings file that {fault}')
def step_fault(context, fault):
    context.text = _FAULTS.get(fault)


@behave.when('its socket is opened early')
def step_open(context):
    open_early(context, context.text)


@behave.then('there is none')
def step_none(context):
    assert early.take_socket(_TAKEN) is None
    assert early.take_socket('') is None


@behave.when(
    'instance {number:d} starts again and is told of other seeds as its port '
    'opens'
)
def step_told_early(context, number):
    platform = context.platform
    node = platform.node(number)
    platform.send_signal(node, signal.SIGKILL)
    platform.launch(node)
    context.run(platform.await_port(node))
    platform.seeds = platform.seeds[1:]
    platform.tell_settings(node)


@behave.then('instance {number:d} still runs')
def step_still_runs(context, number):
    process = context.platform.node(number).process
    context.run(asyncio.sleep(_START_S))
    assert process.poll() is None, process.poll()


@behave.then(
    'instance {number:d} has read the settings that name the other seeds'
)
def step_has_read(context, number):
    platform = context.platform
    node = platform.node(number)

    async def read():
        lines = [
            line
            for line in node.log.read_text().splitlines()
            if '"settings_read"' in line or '"reloaded"' in line
        ]
        return f'"control": ["{platform.seeds[0]}:' in lines[-1]

    context.run(platform_steps.until(read, _READ_S))


@behave.when('the role {role} stands before its imports')
def step_before_imports(context, role):
    # The import of the role's module fails here, and ends the verb.
    program = (
        'import signal, sys\n'
        'from honeyport import cli\n'
        f'sys.modules["honeyport.{role}"] = None\n'
        'try:\n'
        f'    cli.Commands().{role}("settings.yaml")\n'
        'except ImportError:\n'
        '    print(signal.getsignal(signal.SIGHUP).name)\n'
    )
    context.disposition = subprocess.run(
        [sys.executable, '-c', program], capture_output=True, text=True
    ).stdout.strip()


@behave.then('SIGHUP does not end it')
def step_ignored(context):
    assert context.disposition == 'SIG_IGN', context.disposition
