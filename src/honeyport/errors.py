"""Every failure honeyport reports, each with a stable code.

A failure that reaches a caller says three things: its code, whether the
request ran, and when to come back. ``ran`` is ``False`` only where it is
known that no backend server got the request, ``True`` where the backend
server's answer says so, and ``None`` where nobody can know.
"""

import typing

_REGISTRY: dict[str, type['HoneyportError']] = {}

E = typing.TypeVar('E', bound='type[HoneyportError]')


class HoneyportError(Exception):
    """Base of all failures.

    ``settled`` is set where "not run" holds for all requests with the same
    idempotency key: the claim was given back.

    :param detail: what happened, for the person who reads the answer
    :param retry_after: seconds until a repetition makes sense, or ``None``
    """

    code = 'HP-0000'
    status = 500
    ran: bool | None = None
    hint = 'Report this with the log lines around it.'

    def __init__(
        self, detail: str = '', *, retry_after: float | None = None
    ) -> None:
        super().__init__(detail or self.hint)
        self.detail = detail or self.hint
        self.retry_after = retry_after
        self.settled = False

    def to_dict(self) -> dict[str, typing.Any]:
        """Return the body that callers get, ready for JSON."""
        body: dict[str, typing.Any] = {
            'code': self.code,
            'type': type(self).__name__,
            'message': self.detail,
            'hint': self.hint,
            'ran': self.ran,
        }
        if self.retry_after is not None:
            body['retry_after_s'] = round(self.retry_after, 3)
        return body


def register(code: str) -> typing.Callable[[E], E]:
    """Give an error class its code and enter it in the registry."""

    def decorate(cls: E) -> E:
        if code in _REGISTRY:
            raise ValueError(f'error code {code} is taken')
        cls.code = code
        _REGISTRY[code] = cls
        return cls

    return decorate


def registry() -> dict[str, type[HoneyportError]]:
    """Return every error class by its code."""
    return dict(_REGISTRY)


def by_code(code: str) -> type[HoneyportError]:
    """Return the class of a code, or the base class for an unknown one."""
    return _REGISTRY.get(code, HoneyportError)


@register('HP-1001')
class SettingsInvalid(HoneyportError):
    status = 400
    hint = 'Correct the named field and start again.'


@register('HP-1002')
class BundleInvalid(HoneyportError):
    status = 400
    hint = 'Correct the bundle at the named line and check it again.'


@register('HP-1003')
class UsageInvalid(HoneyportError):
    status = 400
    hint = 'Run the command with --help.'


@register('HP-2001')
class SignatureInvalid(HoneyportError):
    status = 403
    hint = 'Sign with enough keys from the accepted bundle.'


@register('HP-2002')
class VersionConflict(HoneyportError):
    status = 409
    hint = 'Read the accepted bundle, put your change on it, submit again.'


@register('HP-2003')
class NotLeader(HoneyportError):
    """Another replica leads.

    :ivar leader: the address where it is asked, or ``''`` if none is known
    """

    status = 503
    hint = 'Ask the replica named as leader.'

    def __init__(
        self,
        detail: str = '',
        *,
        retry_after: float | None = None,
        leader: str = '',
    ) -> None:
        super().__init__(detail, retry_after=retry_after)
        self.leader = leader


@register('HP-2004')
class ControlUnavailable(HoneyportError):
    status = 503
    hint = 'Fewer than a quorum of control replicas answer.'


@register('HP-2005')
class StorageDamaged(HoneyportError):
    hint = 'Replace the replica: move the data folder away, start it empty.'


@register('HP-2006')
class CommitUnknown(HoneyportError):
    status = 503
    hint = 'Send the same again: a repetition gets the same receipt.'


@register('HP-2007')
class ListUnreadable(HoneyportError):
    status = 503
    hint = "The platform's list of instances cannot be read; see the reason."


@register('HP-2008')
class StorageFailed(HoneyportError):
    status = 503
    hint = 'The disk of a control replica takes no writes; see the reason.'


@register('HP-2009')
class ConfigUnusable(HoneyportError):
    status = 503
    hint = 'The router attaches again and takes the whole configuration.'


@register('HP-3001')
class BadRequest(HoneyportError):
    status = 400
    ran = False
    hint = 'Correct the request; it was not run.'


@register('HP-3002')
class UnknownService(HoneyportError):
    status = 404
    ran = False
    hint = 'Use a service or model that the bundle names; it was not run.'


@register('HP-3003')
class UnknownAccount(HoneyportError):
    status = 403
    ran = False
    hint = 'Use a client account that the bundle names; it was not run.'


@register('HP-3004')
class Overloaded(HoneyportError):
    status = 429
    ran = False
    hint = 'No room before the deadline; it was not run. Come back later.'


@register('HP-3005')
class NotReady(HoneyportError):
    status = 503
    ran = False
    hint = 'This instance may not serve now; it was not run. Ask another.'


@register('HP-3006')
class Draining(HoneyportError):
    status = 503
    ran = False
    hint = 'This instance is leaving; it was not run. Ask another.'


@register('HP-3007')
class NotSent(HoneyportError):
    status = 503
    ran = False
    hint = 'The backend server could not be reached; it was not run.'


@register('HP-3015')
class ConnectionRefused(NotSent):
    hint = 'Nothing listens at the address of the backend server; not run.'


@register('HP-3018')
class InstanceRests(HoneyportError):
    status = 503
    ran = False
    hint = 'The backend server asked for rest; nothing was sent there.'


@register('HP-3008')
class BackendLost(HoneyportError):
    status = 502
    hint = 'The backend server went away; the request may have run.'


@register('HP-3014')
class BackendSilent(BackendLost):
    status = 504
    hint = 'The backend server said nothing for too long; it may have run.'


@register('HP-3009')
class AnswerCut(HoneyportError):
    status = 502
    ran = True
    hint = 'The answer is not whole. Resume with Last-Event-ID.'


@register('HP-3010')
class PeerLost(HoneyportError):
    status = 502
    hint = 'The instance in charge went away; the request may have run.'


@register('HP-3011')
class DeadlinePassed(HoneyportError):
    status = 504
    hint = 'The deadline passed while the request was running.'


@register('HP-3012')
class BackendFull(HoneyportError):
    status = 429
    ran = False
    hint = 'This backend server is at its bound; another one is tried.'


@register('HP-3013')
class AnswerTooLarge(HoneyportError):
    status = 502
    ran = True
    hint = 'It ran, but its answer is over limits.answer_bytes.'


@register('HP-3016')
class RequestBarred(HoneyportError):
    status = 503
    ran = False
    hint = 'Instances ended each time this ran; it is refused, and not run.'


@register('HP-3017')
class RequestHeld(HoneyportError):
    status = 503
    ran = False
    hint = 'Instances ended when this ran; one at a time runs. Come back.'


@register('HP-3101')
class KeyInvalid(HoneyportError):
    status = 400
    ran = False
    hint = 'Use a UUIDv7 made for this request as Idempotency-Key.'


@register('HP-3102')
class KeyExpired(HoneyportError):
    status = 409
    hint = 'The key is older than the retention. Look the outcome up.'


@register('HP-3103')
class KeyReused(HoneyportError):
    status = 422
    ran = False
    hint = 'This key belongs to another request; this one was not run.'


@register('HP-3104')
class StillRunning(HoneyportError):
    status = 409
    ran = True
    hint = 'The request with this key is running. Ask for it again.'


@register('HP-3105')
class MayHaveRun(HoneyportError):
    status = 409
    hint = 'Nobody can know if this ran; it is never run again.'


@register('HP-3201')
class UnknownRoute(HoneyportError):
    status = 404
    ran = False
    hint = 'Use a host and a path that a route names; it was not run.'


@register('HP-3202')
class UnknownKey(HoneyportError):
    status = 401
    ran = False
    hint = 'Send an API key that a client account holds; it was not run.'


@register('HP-3203')
class NoInstance(HoneyportError):
    status = 503
    ran = False
    hint = 'No instance of the service is known; it was not run.'


@register('HP-3210')
class ListUnusable(HoneyportError):
    status = 503
    hint = 'A list does not follow the one held here; it is asked for anew.'


@register('HP-3208')
class WrongMethod(HoneyportError):
    status = 405
    ran = False
    hint = 'Use a method that this call takes; nothing was changed.'


@register('HP-3209')
class UnknownDomain(HoneyportError):
    status = 404
    ran = False
    hint = 'Name a failure domain that exists; nothing was changed.'


@register('HP-3204')
class ForeignAnswer(HoneyportError):
    status = 502
    hint = 'The instance sent what is no answer to this request.'


@register('HP-3205')
class NotExecuted(HoneyportError):
    status = 503
    ran = False
    hint = 'The instance refused the request; it was not run. Come back.'


@register('HP-3207')
class Misdirected(NotExecuted):
    hint = 'Another instance has the address; it was not run. Come back.'


@register('HP-3206')
class AttemptFailed(HoneyportError):
    status = 502
    ran = True
    hint = 'The instance ran the request and answered with a failure.'
