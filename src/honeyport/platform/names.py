"""The headers of the platform's callers and instances."""

from honeyport.gateway import headers

HEADERS = headers.HeaderNames(
    # Each try of a caller has its own id, in spite of the name's look of
    # a counter; it is never sent twice by the caller.
    request_id='Attempt-Id',
    deadline_ms='Deadline-Ms',
    account='Tenant',
    expected_instance='Expected-Instance',
    # No signature: a digest of the answer, opaque to us.
    digest='Response-Signature',
    not_run='Not-Executed',
    load='Server-Load',
    leaving='Server-Leaving',
    prompt_parts='Prompt-Prefix',
    priority='Request-Priority',
    last_event='Last-Event-Id',
    copy_from='Kv-Fetch',
    reserved=(
        'Expected-Version',
        'Cache-Retention',
        'Pin-Ms',
        'Kv-From',
        'Kv-Backup',
    ),
)
