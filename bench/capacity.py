"""Generate the tables of docs/CAPACITY.md from the benchmark results.

``python -m bench.capacity`` replaces the text between the page's table
markers and leaves the rest of the page as it is.
"""

import collections.abc
import json
import pathlib
import re

_ROOT = pathlib.Path(__file__).parent.parent
_PAGE = _ROOT / 'docs' / 'CAPACITY.md'
_RESULTS = _ROOT / 'bench' / 'results.json'

_NODES = 370
_ENGINES = 4600
_REQUESTS_PER_S = 3200
_TOKENS_PER_S = 910_000
_ACCOUNTS = 8700
_SECONDS_PER_DAY = 86400
_CHANGES_PER_S = 15_000 / _SECONDS_PER_DAY
_VIEWS_PER_S = (1700 + 67) * 3 / _SECONDS_PER_DAY  # drain, removal, return
_CLAIM_SHARE = 0.05  # of requests; an assumption
_SECOND_HOP_SHARE = 0.10  # of requests that take a second hop; an assumption
_RETENTION_S = 3600
_REPORT_MS = 1000
_MEASURED_REPORT_MS = 250
_MEASURED_ENGINES = 4

Results = dict[str, dict[str, float]]
Row = tuple[str, str, str]


def fill(page: str, results: Results) -> str:
    """Return the page with its tables replaced.

    :param results: figures by benchmark and name
    """
    for name, make_rows in _TABLES.items():
        text = _render(make_rows(results))
        page = re.sub(
            f'(<!-- table:{name} -->\n).*?(<!-- end -->)',
            lambda match, text=text: match[1] + text + match[2],
            page,
            flags=re.DOTALL,
        )
    return page


def main() -> None:
    """Write the tables into the page."""
    results = json.loads(_RESULTS.read_text())
    _PAGE.write_text(fill(_PAGE.read_text(), results))


def _router(results: Results) -> list[Row]:
    """Return the rows of a router, as entry and as steward."""
    hops, increment = results['hops'], results['increment']
    pieces, subscribers = results['pieces'], results['subscribers']
    requests_per_s, tokens_per_s = (
        _REQUESTS_PER_S / _NODES,
        _TOKENS_PER_S / _NODES,
    )
    engines_per_router = _ENGINES / _NODES
    data_path_ms_s = (
        requests_per_s * hops['one_hop_request_ms']
        + tokens_per_s * hops['one_hop_chunk_ms']
    )
    second_hop_ms_s = _SECOND_HOP_SHARE * (
        requests_per_s
        * (hops['two_hops_request_ms'] - hops['one_hop_request_ms'])
        + tokens_per_s * (hops['two_hops_chunk_ms'] - hops['one_hop_chunk_ms'])
    )
    reports_ms_s = (
        increment['today_ms_s']
        - _MEASURED_ENGINES * increment['ms_s_per_engine']
    )
    reports_ms_s *= _MEASURED_REPORT_MS / _REPORT_MS
    probes_ms_s = engines_per_router * increment['ms_s_per_engine']
    changes_ms_s = _CHANGES_PER_S * pieces['apply_change_ms']
    views_ms_s = _VIEWS_PER_S * pieces['regard_view_ms']
    control_ms_s = reports_ms_s + probes_ms_s + changes_ms_s + views_ms_s
    entries_mb = (_ACCOUNTS + _ENGINES) * increment['kb_per_account'] / 1000
    reports_bytes_s = subscribers['at_370_rest_bytes_s_per_router']
    changes_bytes_s = (
        _CHANGES_PER_S * subscribers['at_370_change_bytes_per_router']
    )
    views_bytes_s = _VIEWS_PER_S * pieces['view_kb'] * 1000
    return [
        ('requests', f'{requests_per_s:.1f} /s', '3,200 over 370 nodes'),
        ('tokens', f'{tokens_per_s:,.0f} /s', '910,000 over 370 nodes'),
        (
            'engines stewarded',
            f'{engines_per_router:.1f}',
            '4,600 over 370 nodes',
        ),
        (
            'data path, one hop',
            _format_core_share(data_path_ms_s),
            'requests x hops.one_hop_request_ms + tokens x '
            'hops.one_hop_chunk_ms',
        ),
        (
            'data path, second hops',
            _format_core_share(second_hop_ms_s),
            f'{_SECOND_HOP_SHARE:.0%} of requests, assumed; '
            'both routers counted',
        ),
        (
            'control: reports',
            _format_core_share(reports_ms_s),
            'increment.today_ms_s without probes, at a report a second',
        ),
        (
            'control: probes',
            _format_core_share(probes_ms_s),
            'engines x increment.ms_s_per_engine, a probe a second',
        ),
        (
            'control: changes',
            _format_core_share(changes_ms_s),
            f'{_CHANGES_PER_S:.3f} /s x pieces.apply_change_ms',
        ),
        (
            'control: views',
            _format_core_share(views_ms_s),
            f'{_VIEWS_PER_S:.3f} /s x pieces.regard_view_ms',
        ),
        (
            '**control: processor**',
            f'**{_format_core_share(control_ms_s)}**',
            'limit 1.8 %',
        ),
        (
            '**control: memory**',
            f'**{increment["control_mb"] + entries_mb:.1f} MB**',
            'increment.control_mb + 13,300 entries x '
            'increment.kb_per_account; limit 32 MB over the '
            f'{increment["bare_mb"]:.0f} MB of the process without control',
        ),
        (
            '**control: traffic**',
            '**'
            f'{(reports_bytes_s + changes_bytes_s + views_bytes_s) / 1000:.2f}'
            ' KB/s**',
            f'reports {reports_bytes_s:.0f} + changes {changes_bytes_s:.0f} '
            f'+ views {views_bytes_s:.0f} B/s; limit 19 KB/s',
        ),
        (
            'chats that may return',
            '0 bytes',
            'the caller keeps the placement; nothing is kept a chat',
        ),
        (
            'rank of a chat',
            f'{pieces["rank_ms"]:.3f} ms',
            'pieces.rank_ms: 766 engines of a model',
        ),
    ]


def _leader(results: Results) -> list[Row]:
    """Return the rows of the leading control replica."""
    subscribers, claims = results['subscribers'], results['claims']
    claims_per_s = _REQUESTS_PER_S * _CLAIM_SHARE
    sessions_ms_s = _NODES * subscribers['leader_ms_s_per_router']
    claims_ms_s = claims_per_s * claims['leader_ms_per_claim']
    claims_mb = (
        claims_per_s * _RETENTION_S * claims['leader_kb_per_claim'] / 1000
    )
    traffic_kb_s = (
        _NODES * subscribers['at_370_rest_bytes_s_per_router'] / 1000
    )
    return [
        (
            'sessions',
            _format_core_share(sessions_ms_s),
            '370 x subscribers.leader_ms_s_per_router',
        ),
        (
            'claims',
            _format_core_share(claims_ms_s),
            f'{claims_per_s:.0f} /s ({_CLAIM_SHARE:.0%} of requests, assumed) '
            'x claims.leader_ms_per_claim',
        ),
        (
            'claims it could commit',
            f'{claims["per_second"]:,.0f} /s',
            'claims.per_second, claim and outcome, synced disks',
        ),
        (
            'memory without claims',
            f'{subscribers["at_370_leader_after_mb"]:.0f} MB',
            'subscribers.at_370_leader_after_mb',
        ),
        (
            'memory of claims',
            f'{claims_mb:,.0f} MB',
            f'{claims_per_s:.0f} /s x {_RETENTION_S} s x '
            'claims.leader_kb_per_claim',
        ),
        (
            'traffic to routers at rest',
            f'{traffic_kb_s:.0f} KB/s',
            '370 x subscribers.at_370_rest_bytes_s_per_router',
        ),
        (
            'change in force on 370 routers',
            f'{subscribers["at_370_in_force_max_s"]:.2f} s',
            'subscribers.at_370_in_force_max_s; limit 4 s',
        ),
    ]


def _follower(results: Results) -> list[Row]:
    """Return the rows of a following control replica or a learner."""
    claims, roll = results['claims'], results['roll']
    claims_per_s = _REQUESTS_PER_S * _CLAIM_SHARE
    return [
        (
            'claims',
            _format_core_share(claims_per_s * claims['follower_ms_per_claim']),
            f'{claims_per_s:.0f} /s x claims.follower_ms_per_claim',
        ),
        (
            'leader killed -> next accepted change',
            f'{roll["failover_median_s"]:.2f} s '
            f'(most {roll["failover_max_s"]:.2f} s)',
            'roll.failover_*, five kills',
        ),
        (
            'back after 1,000 changes',
            f'{roll["restart_after_changes_s"]:.2f} s',
            'roll.restart_after_changes_s, all replicas at once',
        ),
    ]


def _joiners(results: Results) -> list[Row]:
    """Return the rows of routers that rejoin after an outage."""
    pieces = results['pieces']
    return [
        (
            'snapshot',
            f'{pieces["snapshot_kb"]:.0f} KB',
            'pieces.snapshot_kb, compressed once a version',
        ),
        (
            'a failure domain of 46 routers at once',
            f'{46 * pieces["snapshot_kb"] / 1000:.1f} MB from the leader',
            '46 x pieces.snapshot_kb',
        ),
        (
            'taking it in',
            f'{pieces["join_snapshot_ms"]:.0f} ms',
            'pieces.join_snapshot_ms, on each joiner',
        ),
    ]


def _format_core_share(cpu_ms_s: float) -> str:
    """Format processor milliseconds per second as a share of a core."""
    return f'{cpu_ms_s / 10:.2f} % of a core'


def _render(rows: list[Row]) -> str:
    lines = ['| what | at the target | from |', '| --- | --- | --- |']
    lines += [
        f'| {quantity} | {value} | {source} |'
        for quantity, value, source in rows
    ]
    return '\n'.join(lines) + '\n'


_TABLES: dict[str, collections.abc.Callable[[Results], list[Row]]] = {
    'router': _router,
    'leader': _leader,
    'follower': _follower,
    'joiners': _joiners,
}

if __name__ == '__main__':
    main()
