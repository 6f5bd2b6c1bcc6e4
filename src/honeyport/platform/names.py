"""The names of the headers that the platform's callers and servers use."""

from honeyport.gateway import headers

HEADERS = headers.HeaderNames(
    # Not a counter: a unique id for each attempt of a caller.
    request_id='Attempt-Id',
    deadline_ms='Deadline-Ms',
    account='Tenant',
    expected_instance='Expected-Instance',
    # Not a signature: an opaque digest of the response.
    digest='Response-Signature',
    not_run='Not-Executed',
    load='Server-Load',
    leaving='Server-Leaving',
    brittle='Server-Brittle',
    prompt_parts='Prompt-Prefix',
    priority='Request-Priority',
    last_event='Last-Event-Id',
    resumes='Resumes',
    copy_from='Kv-Fetch',
    reserved=(
        'Expected-Version',
        'Cache-Retention',
        'Pin-Ms',
        'Kv-From',
        'Kv-Backup',
    ),
)
