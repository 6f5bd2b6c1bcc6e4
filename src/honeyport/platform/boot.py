"""The settings that the platform writes for a process.

The file has lines ``name=value``; names have dots, lists have commas. It
is decoded once, into :class:`Boot`.
"""

import collections.abc
import pathlib
import typing

import attrs

from honeyport import errors

# Where the platform sets no bound: the values of its pages, times in seconds.
_REVOCATION_S = 5.0
_GRACE_S = 8.0
_RETRY_RATIO = 0.2
_RETRY_EXTRA = 50.0  # below the least that a page names, 58
_RETRY_WINDOW_S = 10.0
_TTL_S = 5.0
_BANDWIDTH_MBPS = 1000.0
_COLD_MULTIPLE = 1.0  # what a cold instance is made for, and no more
_COLD_EXTRA = 0.0
_ZONES = 'zones.'  # how fields begin that name a failure domain's region
# Where metrics are served, as `deploy/system.toml` names it: the platform
# draws all other ports anew each day. Usual for exporters of metrics.
_METRICS_PORT = 9464

T = typing.TypeVar('T')


@attrs.frozen(kw_only=True)
class Boot:
    """What a process is told at its start.

    :ivar name: of the instance
    :ivar callers: address for callers (the platform's ``frontend``)
    :ivar readiness: address for the platform's checks
    :ivar operators: address for operators (``control_plane``)
    :ivar directory: address for callers that ask where to connect
    :ivar internal_port: first port for traffic between our processes
    :ivar seeds: operators' addresses of up to three control instances
    :ivar founding: whether the whole system starts for the first time
    :ivar data: data folder, or ``''`` on an instance without a disk
    :ivar lasting: whether its loss counts; any number of others may be
        lost, so they cannot hold votes (the platform's ``fault_counted``)
    :ivar losses: how many instances whose loss counts may be lost at once
    :ivar backend_list: address of the platform's list of instances
    :ivar revocation_s: after this long a key that was taken away is dead
    :ivar retry_ratio: arrivals beyond the first of each request that all of
        us together may cause at a service, as a share of its requests
    :ivar retry_extra: and so many more in each window that is counted
    :ivar retry_window_s: the length of that window
    :ivar grace_s: from SIGTERM to SIGKILL
    :ivar ttl_s: longest time that callers keep an address list
    :ivar regions: the region of each failure domain (the platform's zones)
    :ivar bandwidth_mbps: bandwidth of the machine's link, in Mbit/s
    :ivar cold_multiple: the multiple of what a cold instance is made for that
        it tolerates within one second
    :ivar cold_extra: and so many more
    """

    name: str
    domain: str
    ip: str
    callers: str
    readiness: str
    operators: str
    directory: str
    internal_port: int
    seeds: tuple[str, ...]
    founding: bool
    data: str
    lasting: bool
    losses: int
    backend_list: str
    revocation_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    grace_s: float
    ttl_s: float
    regions: dict[str, str]
    bandwidth_mbps: float
    cold_multiple: float
    cold_extra: float

    @property
    def replica(self) -> str:
        """Where its control replica listens, or ``''`` if it has none."""
        return self.internal if self.data and self.lasting else ''

    @property
    def control(self) -> tuple[str, ...]:
        """Where the seeds' control replicas listen for our processes."""
        return tuple(
            f'{seed.rpartition(":")[0]}:{self.internal_port}'
            for seed in self.seeds
        )

    @property
    def metrics(self) -> str:
        """Where its metrics are served."""
        return f'{self.ip}:{_METRICS_PORT}'

    @property
    def internal(self) -> str:
        """Where this process listens for other processes of ours."""
        return f'{self.ip}:{self.internal_port}'


def load(path: str | pathlib.Path) -> Boot:
    """Read a settings file.

    :raises errors.SettingsInvalid: if a field is missing or has no meaning
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise errors.SettingsInvalid(f'{path}: {error.strerror}') from None
    return decode(text, str(path))


def decode(text: str, name: str) -> Boot:
    """Return the settings in a file's text; unknown fields are ignored.

    :param name: the file's name, for messages
    """
    values = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        key, equals, value = line.partition('=')
        if not equals:
            raise errors.SettingsInvalid(
                f'{name}:{number}: expected name=value, found {line!r}'
            )
        values[key.strip()] = value.strip()
    return _Fields(name, values).boot()


class _Fields:
    """Takes typed values out of the file's fields."""

    def __init__(self, name: str, values: dict[str, str]) -> None:
        self._name = name
        self._values = values

    def boot(self) -> Boot:
        ports = self._need('internal_port_range').split(',')
        return Boot(
            name=self._need('node_name'),
            domain=self._need('zone'),
            ip=self._need('ip'),
            callers=self._need('listen.frontend'),
            readiness=self._need('listen.ready'),
            operators=self._need('listen.control_plane'),
            directory=self._need('listen.directory'),
            internal_port=self._convert('internal_port_range', ports[0], int),
            seeds=self._list('seeds'),
            founding=self._values.get('bootstrap', 'false') == 'true',
            data=self._values.get('data_directory', ''),
            lasting=self._values.get('fault_counted', 'false') == 'true',
            losses=int(self._number('fault_tolerance.machines', 1)),
            backend_list=self._need('cloud.address'),
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
            ttl_s=self._number('bounds.ttl_max_s', _TTL_S),
            regions=self._regions(),
            bandwidth_mbps=self._number('limits.link_mbps', _BANDWIDTH_MBPS),
            cold_multiple=self._number('bounds.cold_overage', _COLD_MULTIPLE),
            cold_extra=self._number('bounds.cold_tolerance', _COLD_EXTRA),
        )

    def _regions(self) -> dict[str, str]:
        """Return the region of each failure domain, our own included."""
        found = {
            key.removeprefix(_ZONES): region
            for key, region in self._values.items()
            if key.startswith(_ZONES)
        }
        return {self._need('zone'): self._values.get('region', ''), **found}

    def _need(self, key: str) -> str:
        value = self._values.get(key)
        if not value:
            raise errors.SettingsInvalid(f'{self._name}: {key} is missing')
        return value

    def _list(self, key: str) -> tuple[str, ...]:
        return tuple(part for part in self._need(key).split(',') if part)

    def _number(self, key: str, default: float) -> float:
        """Return a number; times in seconds, whatever their name says."""
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
