"""The ``honeyport`` command line.

Fire takes the commands and their arguments from the names of methods and
parameters, and the output of ``--help`` from their docstrings. Modules are
imported by the commands that need them, to keep the start fast.
"""

import sys
import typing

import fire
from fire import core as fire_core

from honeyport import errors
from honeyport import signals

_USAGE_EXIT_CODE = 2
_HELP_FLAGS = ('--help', '-h', 'help')


class Key:
    """Manage the keys that sign bundles."""

    def new(self, folder: str, name: str) -> str:
        """Create a key as FOLDER/NAME.pem and print its public key.

        :param folder: folder for the private key
        :param name: name of the key in the bundle's signers
        """
        from honeyport.bundle import signing

        return signing.write_new_key(folder, name)


class Bundle:
    """Check, sign and submit bundles, the configurations of a fleet."""

    def check(self, path: str) -> str:
        """Validate a bundle in YAML: every field and every reference."""
        from honeyport.bundle import files

        bundle = files.load(path)
        return (
            f'{path}: version {bundle.version}, '
            f'{len(bundle.backends)} backend servers, '
            f'{len(bundle.accounts)} client accounts'
        )

    def sign(self, path: str, key: str, out: str) -> str:
        """Sign a bundle, or add a signature to a signed bundle.

        :param path: a bundle in YAML, or a file that sign wrote
        :param key: file of the private key, NAME.pem
        :param out: file for the signed bundle
        """
        from honeyport import operators

        return operators.sign(path, key, out)

    def diff(self, path: str, control: str) -> str:
        """Show the difference between a bundle in YAML and the accepted one.

        :param control: addresses of control replicas, comma-separated
        """
        from honeyport import operators

        return operators.diff(path, _parse_addresses(control))

    def submit(self, path: str, control: str, wait: bool = False) -> str:
        """Submit a signed bundle; submitting it again is safe.

        :param control: addresses of control replicas, comma-separated
        :param wait: wait until every router applies it
        """
        from honeyport import operators

        return operators.submit(path, _parse_addresses(control), wait)

    def status(self, control: str, wait: bool = False) -> str:
        """Show the accepted version and the routers that do not apply it yet.

        :param control: addresses of control replicas, comma-separated
        :param wait: wait until every router applies it
        """
        from honeyport import operators

        return operators.bundle_status(_parse_addresses(control), wait)

    def history(self, control: str) -> str:
        """Show the accepted versions and their digests."""
        from honeyport import operators

        return operators.history(_parse_addresses(control))


class Fleet:
    """Show and manage the fleet through its control replicas."""

    def status(self, control: str) -> str:
        """Show the leader, the control replicas and the routers."""
        from honeyport import operators

        return operators.fleet_status(_parse_addresses(control))

    def add(self, control: str, name: str, address: str) -> str:
        """Add a control replica as a learner; it votes once it caught up."""
        from honeyport import operators

        return operators.change_membership(
            _parse_addresses(control), name, address
        )

    def remove(self, control: str, name: str) -> str:
        """Remove a control replica."""
        from honeyport import operators

        return operators.change_membership(_parse_addresses(control), name, '')

    def evacuate(self, control: str, domain: str) -> str:
        """Send no new requests to the backend servers of a failure domain.

        :param control: addresses of control replicas, comma-separated
        :param domain: the failure domain; repeating the command is safe
        """
        from honeyport import operators

        return operators.evacuate(
            _parse_addresses(control), str(domain), ends=False
        )

    def restore(self, control: str, domain: str) -> str:
        """End the evacuation of a failure domain.

        :param control: addresses of control replicas, comma-separated
        :param domain: the failure domain; repeating the command is safe
        """
        from honeyport import operators

        return operators.evacuate(
            _parse_addresses(control), str(domain), ends=True
        )

    def suspects(self, control: str) -> str:
        """Show requests that are restricted because instances crashed.

        :param control: addresses of control replicas, comma-separated
        """
        from honeyport import operators

        return operators.suspects(_parse_addresses(control))

    def clear(self, control: str, fingerprint: str) -> str:
        """Lift the restrictions on a request that is suspected of crashes.

        :param control: addresses of control replicas, comma-separated
        :param fingerprint: as ``fleet suspects`` prints it
        """
        from honeyport import operators

        return operators.clear(_parse_addresses(control), str(fingerprint))


class Standin:
    """Run stand-ins for the systems that honeyport connects to."""

    def engine(self, settings: str) -> None:
        """Run a stand-in engine."""
        from honeyport.standin import engine_api

        _run_role(settings, 'Engine', engine_api.start)

    def service(self, settings: str) -> None:
        """Run a stand-in plain service."""
        from honeyport.standin import service

        _run_role(settings, 'Service', service.start)

    def weights(self, settings: str) -> None:
        """Run a stand-in weight store."""
        from honeyport.standin import weights

        _run_role(settings, 'WeightStore', weights.start)

    def instances(self, settings: str) -> None:
        """Run a stand-in instance list."""
        from honeyport.standin import instances

        _run_role(settings, 'InstanceList', instances.start)


class Commands:
    """honeyport: a fleet of routers that keep chats near their caches."""

    def __init__(self) -> None:
        self.key = Key()
        self.bundle = Bundle()
        self.fleet = Fleet()
        self.standin = Standin()

    def router(self, settings: str) -> None:
        """Run a router.

        :param settings: the settings file, in YAML
        """
        signals.ignore_reload()
        from honeyport.router import daemon

        _run_role(settings, 'Router', daemon.start)

    def control(self, settings: str) -> None:
        """Run a control replica.

        :param settings: the settings file, in YAML
        """
        signals.ignore_reload()
        from honeyport.control import daemon

        _run_role(settings, 'Control', daemon.start)

    def explain(self, request: str, *logs: str, ahead: str = '') -> str:
        """Show the log lines of one request from several instances, in order.

        :param request: the request's id
        :param logs: log files; by default standard input
        :param ahead: clocks that are ahead: INSTANCE=SECONDS, comma-separated
        """
        from honeyport.telemetry import explain

        return explain.run(str(request), logs, ahead)

    def losses(self, *logs: str, slow_ms: float = 300.0) -> str:
        """Summarize failed and slow requests from log files.

        :param logs: log files; by default standard input
        :param slow_ms: time to the first byte above which a request is slow
        """
        from honeyport.telemetry import losses

        return losses.run(logs, slow_ms)

    def reference(self, folder: str) -> str:
        """Generate the reference pages into a folder."""
        from honeyport import reference

        return '\n'.join(reference.write(folder))

    def local(self, keep: bool = False) -> None:
        """Run a small site in this process and send example requests.

        :param keep: keep serving until interrupted
        """
        from honeyport import local

        local.run(keep)


def main() -> None:
    """Run the command line.

    A ``HoneyportError`` is printed and exits with code 2.
    """
    fire_core.Display = _print_help
    try:
        fire.Fire(Commands, command=_arguments(), name='honeyport')
    except errors.HoneyportError as error:
        print(f'honeyport: {error.code}: {error.detail}', file=sys.stderr)
        print(f'honeyport: {error.hint}', file=sys.stderr)
        sys.exit(_USAGE_EXIT_CODE)
    except KeyboardInterrupt:
        sys.exit(130)


def _run_role(path: str, role: str, start: typing.Any) -> None:
    from honeyport import process
    from honeyport.settings import document
    from honeyport.settings import roles

    process.run(document.load(path, getattr(roles, role)), start)


def _arguments() -> list[str]:
    """Return the arguments of the command line.

    A leading help flag is dropped: fire lists the commands only if there are
    no arguments.
    """
    arguments = sys.argv[1:]
    return [] if arguments and arguments[0] in _HELP_FLAGS else arguments


def _parse_addresses(addresses: typing.Any) -> list[str]:
    """Return the addresses of a command line argument.

    :param addresses: text, or a tuple if fire has split it at the commas
    :raises errors.UsageInvalid: if one of them is not an address
    """
    from honeyport.settings import fields

    if isinstance(addresses, str):
        addresses = addresses.split(',')
    parsed = [str(address) for address in addresses]
    for address in parsed:
        expected = fields.address(address)
        if expected:
            raise errors.UsageInvalid(
                f'{address!r} is not an address: expected {expected}, '
                'comma-separated'
            )
    return parsed


def _print_help(lines: list[str], out: typing.TextIO) -> None:
    """Print help directly; fire would start a pager."""
    out.write('\n'.join(lines) + '\n')
