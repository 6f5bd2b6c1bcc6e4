"""The ``honeyport`` command. Every verb says what it does with --help."""

import sys
import typing

import fire
from fire import core as fire_core

from honeyport import errors
from honeyport import signals

_USAGE_EXIT = 2
_HELP = ('--help', '-h', 'help')


class Key:
    """Keys that sign bundles."""

    def new(self, folder: str, name: str) -> str:
        """Make a key: FOLDER/NAME.pem; print its public part.

        :param folder: where the private key is written
        :param name: the key's name in the bundle's signers
        """
        from honeyport.bundle import signing

        return signing.write_new_key(folder, name)


class Bundle:
    """The signed configuration of a fleet."""

    def check(self, path: str) -> str:
        """Check a bundle in YAML: every field and every reference."""
        from honeyport.bundle import files

        bundle = files.load(path)
        return (
            f'{path}: version {bundle.version}, '
            f'{len(bundle.backends)} backend servers, '
            f'{len(bundle.accounts)} client accounts'
        )

    def sign(self, path: str, key: str, out: str) -> str:
        """Sign a bundle, or add a signature to a signed one.

        :param path: a bundle in YAML, or a file that sign wrote
        :param key: the private key's file, NAME.pem
        :param out: where the signed bundle goes
        """
        from honeyport import operators

        return operators.sign(path, key, out)

    def diff(self, path: str, control: str) -> str:
        """Show what a bundle in YAML would change in the accepted one.

        :param control: addresses of control replicas, with commas
        """
        from honeyport import operators

        return operators.diff(path, _split(control))

    def submit(self, path: str, control: str, wait: bool = False) -> str:
        """Submit a signed bundle; the same again gets the same receipt.

        :param control: addresses of control replicas, with commas
        :param wait: return only when it is in force everywhere
        """
        from honeyport import operators

        return operators.submit(path, _split(control), wait)

    def status(self, control: str, wait: bool = False) -> str:
        """Show the accepted version and which routers apply it.

        :param control: addresses of control replicas, with commas
        :param wait: return only when it is in force everywhere
        """
        from honeyport import operators

        return operators.bundle_status(_split(control), wait)

    def history(self, control: str) -> str:
        """Show the accepted versions and their digests."""
        from honeyport import operators

        return operators.history(_split(control))


class Fleet:
    """The fleet as control sees it."""

    def status(self, control: str) -> str:
        """Show routers, leases, views and control replicas."""
        from honeyport import operators

        return operators.fleet_status(_split(control))

    def add(self, control: str, name: str, address: str) -> str:
        """Add a control replica as a learner; it votes once caught up."""
        from honeyport import operators

        return operators.change_membership(_split(control), name, address)

    def remove(self, control: str, name: str) -> str:
        """Remove a control replica."""
        from honeyport import operators

        return operators.change_membership(_split(control), name, '')

    def evacuate(self, control: str, domain: str) -> str:
        """Send nothing new to the backend servers of a failure domain.

        :param control: addresses of control replicas, with commas
        :param domain: the failure domain; the same again changes nothing
        """
        from honeyport import operators

        return operators.evacuate(_split(control), str(domain), ends=False)

    def restore(self, control: str, domain: str) -> str:
        """Take a failure domain back that was evacuated.

        :param control: addresses of control replicas, with commas
        :param domain: the failure domain; the same again changes nothing
        """
        from honeyport import operators

        return operators.evacuate(_split(control), str(domain), ends=True)

    def suspects(self, control: str) -> str:
        """Show the requests that are held back: instances ended under them.

        :param control: addresses of control replicas, with commas
        """
        from honeyport import operators

        return operators.suspects(_split(control))

    def clear(self, control: str, fingerprint: str) -> str:
        """Let a request run again that was held back.

        :param control: addresses of control replicas, with commas
        :param fingerprint: as ``fleet suspects`` shows it
        """
        from honeyport import operators

        return operators.clear(_split(control), str(fingerprint))


class Standin:
    """Stand-ins for the systems that honeyport meets."""

    def engine(self, settings: str) -> None:
        """Run a stand-in engine."""
        from honeyport.standin import engine_api

        _run(settings, 'Engine', engine_api.start)

    def service(self, settings: str) -> None:
        """Run a stand-in plain service."""
        from honeyport.standin import service

        _run(settings, 'Service', service.start)

    def weights(self, settings: str) -> None:
        """Run a stand-in weight store."""
        from honeyport.standin import weights

        _run(settings, 'WeightStore', weights.start)

    def instances(self, settings: str) -> None:
        """Run a stand-in instance list."""
        from honeyport.standin import instances

        _run(settings, 'InstanceList', instances.start)


class Commands:
    """honeyport: a router fleet for returning chats."""

    def __init__(self) -> None:
        self.key = Key()
        self.bundle = Bundle()
        self.fleet = Fleet()
        self.standin = Standin()

    def router(self, settings: str) -> None:
        """Run a router with a settings file."""
        signals.ignore_reload()
        from honeyport.router import daemon

        _run(settings, 'Router', daemon.start)

    def control(self, settings: str) -> None:
        """Run a control replica with a settings file."""
        signals.ignore_reload()
        from honeyport.control import daemon

        _run(settings, 'Control', daemon.start)

    def explain(self, request: str, *logs: str, ahead: str = '') -> str:
        """Show the way of one request through the logs of instances.

        :param request: its id
        :param logs: log files; standard input if there are none
        :param ahead: clocks that are ahead: INSTANCE=SECONDS, with commas
        """
        from honeyport.telemetry import explain

        return explain.run(str(request), logs, ahead)

    def losses(self, *logs: str, slow_ms: float = 300.0) -> str:
        """Sum up where requests and time were lost, from logs alone.

        :param logs: log files; standard input if there are none
        :param slow_ms: after how many milliseconds a first byte is slow
        """
        from honeyport.telemetry import losses

        return losses.run(logs, slow_ms)

    def reference(self, folder: str) -> str:
        """Write the reference pages from the code into a folder."""
        from honeyport import reference

        return '\n'.join(reference.write(folder))

    def local(self, keep: bool = False) -> None:
        """Run a whole small site in this process, and try it out.

        :param keep: go on serving until interrupted
        """
        from honeyport import local

        local.run(keep)


def main() -> None:
    """Run the command line; user errors end with code 2, no traceback."""
    fire_core.Display = _display
    try:
        fire.Fire(Commands, command=_words(), name='honeyport')
    except errors.HoneyportError as error:
        print(f'honeyport: {error.code}: {error.detail}', file=sys.stderr)
        print(f'honeyport: {error.hint}', file=sys.stderr)
        sys.exit(_USAGE_EXIT)
    except KeyboardInterrupt:
        sys.exit(130)


def _run(path: str, role: str, start: typing.Any) -> None:
    from honeyport import process
    from honeyport.settings import document
    from honeyport.settings import roles

    process.run(document.load(path, getattr(roles, role)), start)


def _words() -> list[str]:
    """Return the words of the command line.

    Asked for help on its own, fire shows no verb; without any word it does.
    """
    words = sys.argv[1:]
    return [] if words and words[0] in _HELP else words


def _split(addresses: typing.Any) -> list[str]:
    """Return addresses; fire hands several over as a tuple.

    :raises errors.UsageInvalid: if one of them is no address
    """
    from honeyport.settings import fields

    if isinstance(addresses, str):
        addresses = addresses.split(',')
    found = [str(address) for address in addresses]
    for address in found:
        expected = fields.address(address)
        if expected:
            raise errors.UsageInvalid(
                f'{address!r} is no address: {expected}, several with commas'
            )
    return found


def _display(lines: list[str], out: typing.TextIO) -> None:
    """Print help without a pager."""
    out.write('\n'.join(lines) + '\n')
