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

_FOREIGN_ADDRESS = '192.0.2.1:80'  # TEST-NET-1, RFC 5737
_START_S = 1.0
_RELOAD_S = 5.0  # longer than the interval of checks of the settings file
_FAULTS = {
    "has no callers' address": 'zone=thu-duc\n',
    'has a foreign address': f'listen.frontend={_FOREIGN_ADDRESS}\n',
}


def open_early(context, text):
    """Open the socket early, from a settings file with a text, if any."""
    path = context.folder / 'boot'
    if text is not None:
        path.write_text(text)
    os.environ[early.PATH_VARIABLE] = str(path)
    early.listen()


@behave.given('a gateway that has not started')
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
        listener = early.take_socket(fixture.address)
        assert listener is not None
        await fixture.start_unconfigured(listener)
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


@behave.then('no socket is open')
def step_none(context):
    assert early.take_socket(_FOREIGN_ADDRESS) is None
    assert early.take_socket('') is None


@behave.when(
    'instance {number:d} restarts and gets SIGHUP with other seeds as its '
    'port opens'
)
def step_told_early(context, number):
    platform = context.platform
    node = platform.node(number)
    platform.send_signal(node, signal.SIGKILL)
    platform.launch(node)
    context.run(platform.wait_for_port(node))
    platform.seeds = platform.seeds[1:]
    platform.reload_settings(node)


@behave.then('instance {number:d} still runs')
def step_still_runs(context, number):
    process = context.platform.node(number).process
    context.run(asyncio.sleep(_START_S))
    assert process.poll() is None, process.poll()


@behave.then(
    'instance {number:d} has loaded the settings with the other seeds'
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

    context.run(platform_steps.wait_until(read, _RELOAD_S))


@behave.when('the role {role} has not run its imports')
def step_before_imports(context, role):
    # The import of the role's module fails, which ends the command.
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
