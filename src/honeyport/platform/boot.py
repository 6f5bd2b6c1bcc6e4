"""The settings file that the platform writes for a process.

The file has lines ``name=value``. Names may contain dots, and list values are
separated by commas. It is decoded into :class:`Settings`.
"""

import collections.abc
import pathlib
import typing

import attrs

from honeyport import errors

# Defaults for the bounds that a file leaves out.
_REVOCATION_S = 5.0
_GRACE_S = 8.0
_RETRY_RATIO = 0.2  # retries for each request
_RETRY_EXTRA = 50.0  # retries in a window; platforms allow 58 or more
_RETRY_WINDOW_S = 10.0
_TTL_S = 5.0
_BANDWIDTH_MBPS = 1000.0
_MEMORY_MB = 0.0  # unknown
_FILE_DESCRIPTORS = 0.0  # unknown
_COLD_MULTIPLE = 1.0  # of the rate that a cold instance is designed for
_COLD_EXTRA = 0.0  # requests in a second
_UNEVEN_LOAD_CONTRACT = 'pressure'
_ZONE_PREFIX = 'zones.'  # the field zones.DOMAIN names that domain's region
# TCP port of the metrics endpoint; `deploy/system.toml` names it, too. All
# other ports are assigned by the platform and change.
_METRICS_PORT = 9464

T = typing.TypeVar('T')


@attrs.frozen(kw_only=True)
class Settings:
    """The settings of one process. Addresses are ``IP:PORT``.

    :ivar name: name of the instance
    :ivar domain: its failure domain (the platform's ``zone``)
    :ivar ip: its IP address
    :ivar caller_address: address for callers (the platform's ``frontend``)
    :ivar readiness_address: address for the platform's readiness checks
    :ivar operator_address: address for operators (``control_plane``)
    :ivar directory_address: address for callers that look up gateways
    :ivar internal_port: first port for traffic between honeyport processes
    :ivar seeds: operator addresses of up to three instances to join through
    :ivar may_found: whether the whole system starts for the first time
    :ivar data_folder: data folder, or ``''`` on an instance without a disk
    :ivar fault_counted: whether the instance counts towards the tolerated
        losses; others may all be lost at once, so they hold no votes
    :ivar tolerated_losses: how many counted instances may be lost at once
    :ivar instance_list: address of the platform's list of instances
    :ivar revocation_s: time until a revoked key is rejected everywhere, in
        seconds
    :ivar retry_ratio: retries that all gateways together may send to a
        service, for each request
    :ivar retry_extra: further retries within a window
    :ivar retry_window_s: the length of the window, in seconds
    :ivar grace_s: time from SIGTERM to SIGKILL, in seconds
    :ivar max_ttl_s: longest time that callers keep an address list, in
        seconds
    :ivar regions: the region of each failure domain
    :ivar bandwidth_mbps: bandwidth of the machine's link, in Mbit/s
    :ivar memory_mb: memory of the machine, in megabytes; 0 if it is unknown
    :ivar file_descriptors: that a process may have; 0 if it is unknown
    :ivar cold_multiple: the multiple of a service's cold rate that a cold
        instance tolerates within one second
    :ivar cold_extra: further requests that it tolerates
    :ivar uneven_load: whether services with few slots get shared queues
        (the platform's ``pressure`` contract)
    """

    name: str
    domain: str
    ip: str
    caller_address: str
    readiness_address: str
    operator_address: str
    directory_address: str
    internal_port: int
    seeds: tuple[str, ...]
    may_found: bool
    data_folder: str
    fault_counted: bool
    tolerated_losses: int
    instance_list: str
    revocation_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    grace_s: float
    max_ttl_s: float
    regions: dict[str, str]
    bandwidth_mbps: float
    memory_mb: float
    file_descriptors: int
    cold_multiple: float
    cold_extra: float
    uneven_load: bool

    @property
    def replica_address(self) -> str:
        """The address of its control replica, or ``''`` if it has none."""
        return (
            self.internal_address
            if self.data_folder and self.fault_counted
            else ''
        )

    @property
    def control_addresses(self) -> tuple[str, ...]:
        """The internal addresses of the seeds."""
        return tuple(
            f'{seed.rpartition(":")[0]}:{self.internal_port}'
            for seed in self.seeds
        )

    @property
    def metrics_address(self) -> str:
        """The address of its metrics endpoint."""
        return f'{self.ip}:{_METRICS_PORT}'

    @property
    def internal_address(self) -> str:
        """The address for traffic from other honeyport processes."""
        return f'{self.ip}:{self.internal_port}'


def load(path: str | pathlib.Path) -> Settings:
    """Read a settings file.

    :raises errors.SettingsInvalid: if the file cannot be read, or a field is
        missing or invalid
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise errors.SettingsInvalid(f'{path}: {error.strerror}') from None
    return decode(text, str(path))


def decode(text: str, name: str) -> Settings:
    """Return the settings in a file's text; unknown fields are ignored.

    :param name: the file's name, for error messages
    :raises errors.SettingsInvalid: if a field is missing or invalid
    """
    values = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        key, separator, value = line.partition('=')
        if not separator:
            raise errors.SettingsInvalid(
                f'{name}:{number}: expected name=value, found {line!r}'
            )
        values[key.strip()] = value.strip()
    return _Fields(name, values).to_settings()


class _Fields:
    """Converts the text fields of a file into typed settings.

    :param name: the file's name, for error messages
    """

    def __init__(self, name: str, values: dict[str, str]) -> None:
        self._name = name
        self._values = values

    def to_settings(self) -> Settings:
        ports = self._required('internal_port_range').split(',')
        return Settings(
            name=self._required('node_name'),
            domain=self._required('zone'),
            ip=self._required('ip'),
            caller_address=self._required('listen.frontend'),
            readiness_address=self._required('listen.ready'),
            operator_address=self._required('listen.control_plane'),
            directory_address=self._required('listen.directory'),
            internal_port=self._convert('internal_port_range', ports[0], int),
            seeds=self._list('seeds'),
            may_found=self._values.get('bootstrap', 'false') == 'true',
            data_folder=self._values.get('data_directory', ''),
            fault_counted=self._values.get('fault_counted', 'false') == 'true',
            tolerated_losses=int(self._number('fault_tolerance.machines', 1)),
            instance_list=self._required('cloud.address'),
            revocation_s=self._number('bounds.revocation_ms', _REVOCATION_S),
            retry_ratio=self._number(
                'bounds.retry_budget_ratio', _RETRY_RATIO
            ),
            retry_extra=self._number(
                'bounds.retry_budget_extra', _RETRY_EXTRA
            ),
            retry_window_s=self._number(
                'bounds.budget_window_s', _RETRY_WINDOW_S
            ),
            grace_s=self._number('bounds.grace_period_s', _GRACE_S),
            max_ttl_s=self._number('bounds.ttl_max_s', _TTL_S),
            regions=self._regions(),
            bandwidth_mbps=self._number('limits.link_mbps', _BANDWIDTH_MBPS),
            memory_mb=self._number('limits.memory_mb', _MEMORY_MB),
            file_descriptors=int(
                self._number('limits.file_descriptors', _FILE_DESCRIPTORS)
            ),
            cold_multiple=self._number('bounds.cold_overage', _COLD_MULTIPLE),
            cold_extra=self._number('bounds.cold_tolerance', _COLD_EXTRA),
            uneven_load=_UNEVEN_LOAD_CONTRACT
            in self._values.get('contracts', '').split(','),
        )

    def _regions(self) -> dict[str, str]:
        """Return the region of each failure domain, this one's included."""
        regions = {
            key.removeprefix(_ZONE_PREFIX): region
            for key, region in self._values.items()
            if key.startswith(_ZONE_PREFIX)
        }
        return {
            self._required('zone'): self._values.get('region', ''),
            **regions,
        }

    def _required(self, key: str) -> str:
        value = self._values.get(key)
        if not value:
            raise errors.SettingsInvalid(f'{self._name}: {key} is missing')
        return value

    def _list(self, key: str) -> tuple[str, ...]:
        return tuple(item for item in self._required(key).split(',') if item)

    def _number(self, key: str, default: float) -> float:
        """Return a number; values of fields named ``_ms`` in seconds."""
        text = self._values.get(key)
        if not text:
            return default
        value = self._convert(key, text, float)
        return value / 1000 if key.endswith('_ms') else value

    def _convert(
        self,
        key: str,
        text: str,
        convert: collections.abc.Callable[[str], T],
    ) -> T:
        try:
            return convert(text)
        except ValueError:
            raise errors.SettingsInvalid(
                f'{self._name}: {key}: {text!r} is not a number'
            ) from None
