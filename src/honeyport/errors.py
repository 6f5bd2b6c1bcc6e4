"""The errors that honeyport reports, each with a stable code.

``ran`` tells a caller whether its request ran: ``False`` only if it is
certain that it did not, ``True`` if the backend server's answer shows that
it did, ``None`` if it is unknown.
"""

import typing

_REGISTRY: dict[str, type['HoneyportError']] = {}

E = typing.TypeVar('E', bound='type[HoneyportError]')


class HoneyportError(Exception):
    """Base class of all errors.

    :param detail: what happened, as text; the hint if it is empty
    :param retry_after: seconds to wait before a retry, or ``None``
    :ivar code: stable identifier of the class
    :ivar status: the HTTP status of the answer
    :ivar ran: whether the request ran; ``None`` if it is unknown
    :ivar hint: what the caller or operator should do
    :ivar settled: whether the claim on the idempotency key was released, so
        that ``ran`` holds for all requests with this key
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
        """Return the error as a JSON object, as callers get it."""
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
    """Return a class decorator that sets the code and registers the class.

    :raises ValueError: from the decorator, if the code is taken
    """

    def decorate(cls: E) -> E:
        if code in _REGISTRY:
            raise ValueError(f'error code {code} is taken')
        cls.code = code
        _REGISTRY[code] = cls
        return cls

    return decorate


def registry() -> dict[str, type[HoneyportError]]:
    """Return a copy of the registry: code to error class."""
    return dict(_REGISTRY)


def by_code(code: str) -> type[HoneyportError]:
    """Return the error class of a code, or the base class if unknown."""
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
    hint = 'Sign with enough keys that the accepted bundle lists.'


@register('HP-2002')
class VersionConflict(HoneyportError):
    status = 409
    hint = 'Rebase your change on the accepted bundle and submit it again.'


@register('HP-2003')
class NotLeader(HoneyportError):
    """The replica that was asked is not the leader.

    :ivar leader: the address of the leader, or ``''`` if unknown
    """

    status = 503
    hint = 'Send the request to the replica that is named as leader.'

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
    hint = 'No leader with a quorum of control replicas answers; retry later.'


@register('HP-2005')
class StorageDamaged(HoneyportError):
    hint = (
        "The replica's data is corrupt: move its data folder away "
        'and start it with an empty one.'
    )


@register('HP-2006')
class CommitUnknown(HoneyportError):
    status = 503
    hint = (
        'It may have been committed. Send it again: the receipt is the same.'
    )


@register('HP-2007')
class ListUnreadable(HoneyportError):
    status = 503
    hint = "The platform's list of instances cannot be read; see the reason."


@register('HP-2008')
class StorageFailed(HoneyportError):
    status = 503
    hint = 'A write to the disk of a control replica failed; see the reason.'


@register('HP-2009')
class ConfigUnusable(HoneyportError):
    status = 503
    hint = 'The router reconnects and requests the full configuration.'


@register('HP-3001')
class BadRequest(HoneyportError):
    status = 400
    ran = False
    hint = 'Correct the request; it was not run.'


@register('HP-3002')
class UnknownService(HoneyportError):
    status = 404
    ran = False
    hint = 'Use a service or model that the bundle defines; it was not run.'


@register('HP-3003')
class UnknownAccount(HoneyportError):
    status = 403
    ran = False
    hint = 'Use a client account that the bundle defines; it was not run.'


@register('HP-3004')
class Overloaded(HoneyportError):
    status = 429
    ran = False
    hint = 'No capacity before the deadline; it was not run. Retry later.'


@register('HP-3021')
class BodyTooLarge(HoneyportError):
    status = 413
    ran = False
    hint = 'The body is larger than the limit; it was not run.'


@register('HP-3022')
class BodyIncomplete(HoneyportError):
    status = 408
    ran = False
    hint = (
        'The body did not arrive in time, or stood still while others needed '
        'its memory; it was not run.'
    )


@register('HP-3005')
class NotReady(HoneyportError):
    status = 503
    ran = False
    hint = 'This instance is not ready to serve; it was not run. Try another.'


@register('HP-3006')
class Draining(HoneyportError):
    status = 503
    ran = False
    hint = 'This instance is shutting down; it was not run. Try another.'


@register('HP-3007')
class NotSent(HoneyportError):
    status = 503
    ran = False
    hint = 'The backend server could not be reached; it was not run.'


@register('HP-3015')
class ConnectionRefused(NotSent):
    hint = 'The backend server refused the connection; it was not run.'


@register('HP-3018')
class InstanceRests(HoneyportError):
    status = 503
    ran = False
    hint = 'The backend server asked for a pause; the request was not sent.'


@register('HP-3008')
class BackendLost(HoneyportError):
    status = 502
    hint = 'The connection to the backend server broke; it may have run.'


@register('HP-3014')
class BackendSilent(BackendLost):
    status = 504
    hint = (
        'The backend server sent nothing before the timeout; it may have run.'
    )


@register('HP-3020')
class AttemptsSpent(HoneyportError):
    status = 502
    hint = (
        'Several backend servers got the request, and none answered it '
        'completely; it may have run.'
    )


@register('HP-3009')
class AnswerCut(HoneyportError):
    status = 502
    ran = True
    hint = 'The answer is incomplete. Resume with Last-Event-ID.'


@register('HP-3010')
class PeerLost(HoneyportError):
    status = 502
    hint = 'The connection to another instance broke; it may have run.'


@register('HP-3011')
class DeadlinePassed(HoneyportError):
    status = 504
    hint = 'The deadline expired while the request was running.'


@register('HP-3012')
class BackendFull(HoneyportError):
    status = 429
    ran = False
    hint = 'This backend server is at its load limit; another one is tried.'


@register('HP-3013')
class AnswerTooLarge(HoneyportError):
    status = 502
    ran = True
    hint = 'It ran, but its answer exceeds limits.answer_bytes.'


@register('HP-3016')
class RequestBarred(HoneyportError):
    status = 503
    ran = False
    hint = 'Instances crashed each time this ran; it was refused and not run.'


@register('HP-3017')
class RequestHeld(HoneyportError):
    status = 503
    ran = False
    hint = (
        'Instances crashed when this ran; only one runs at a time. '
        'Retry later.'
    )


@register('HP-3019')
class RequestWithdrawn(HoneyportError):
    status = 502
    hint = (
        'Several instances crashed while requests like this ran, so it was '
        'withdrawn from its instance; it may have run.'
    )


@register('HP-3101')
class KeyInvalid(HoneyportError):
    status = 400
    ran = False
    hint = 'Send a new UUIDv7 as the Idempotency-Key of this request.'


@register('HP-3102')
class KeyExpired(HoneyportError):
    status = 409
    hint = 'The key is older than the retention time. Look the outcome up.'


@register('HP-3103')
class KeyReused(HoneyportError):
    status = 422
    ran = False
    hint = 'This key was used for a different request; this one was not run.'


@register('HP-3104')
class StillRunning(HoneyportError):
    status = 409
    ran = True
    hint = 'The request with this key is still running. Retry later.'


@register('HP-3105')
class MayHaveRun(HoneyportError):
    status = 409
    hint = 'The outcome is unknown; the request is never run again.'


@register('HP-3201')
class UnknownRoute(HoneyportError):
    status = 404
    ran = False
    hint = 'Use a host and a path that a route matches; it was not run.'


@register('HP-3202')
class UnknownKey(HoneyportError):
    status = 401
    ran = False
    hint = 'Send an API key of a client account; it was not run.'


@register('HP-3203')
class NoInstance(HoneyportError):
    status = 503
    ran = False
    hint = 'No instance of the service is available; it was not run.'


@register('HP-3210')
class ListUnusable(HoneyportError):
    status = 503
    hint = (
        'An update does not match the stored list; the full list is requested.'
    )


@register('HP-3211')
class ServiceUnreachable(HoneyportError):
    status = 503
    ran = False
    hint = (
        'This gateway cannot reach the service, and no other one forwards the '
        'request; it was not run. Retry later.'
    )


@register('HP-3212')
class StreamUnknown(HoneyportError):
    status = 503
    ran = False
    hint = (
        'It is not known which software version began the stream, so that it '
        'cannot go on here; it was not run. Retry later.'
    )


@register('HP-3213')
class NoSlot(HoneyportError):
    status = 503
    ran = False
    hint = 'No slot of the service is free in time; it was not run.'
    # Why, and when one likely is, in seconds; by the keeper of the queue.
    reason = ''
    forecast_s: float | None = None


@register('HP-3208')
class WrongMethod(HoneyportError):
    status = 405
    ran = False
    hint = 'Use a method that this path supports; nothing was changed.'


@register('HP-3209')
class UnknownDomain(HoneyportError):
    status = 404
    ran = False
    hint = 'Use an existing failure domain; nothing was changed.'


@register('HP-3204')
class ForeignAnswer(HoneyportError):
    status = 502
    hint = 'The instance sent an answer that does not belong to this request.'


@register('HP-3219')
class ResponseTooLarge(BackendLost):
    hint = (
        'The instance sent more than a response may have, perhaps without '
        'end; the request may have run. Look at that instance.'
    )


@register('HP-3205')
class NotExecuted(HoneyportError):
    status = 503
    ran = False
    hint = 'The instance refused the request; it was not run. Retry later.'


@register('HP-3207')
class Misdirected(NotExecuted):
    hint = (
        'The address now belongs to another instance; it was not '
        'run. Retry later.'
    )


@register('HP-3206')
class AttemptFailed(HoneyportError):
    status = 502
    ran = True
    hint = 'The instance ran the request and answered with an error.'
