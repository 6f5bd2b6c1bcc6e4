"""The tables of docs/CAPACITY.md, from measured slopes and the target.

``python -m bench.capacity`` writes them into the page, between its
markers; nothing else of the page is touched.
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
_REQUESTS_S = 3200
_TOKENS_S = 910_000
_ACCOUNTS = 8700
_DAY_S = 86400
_CHANGES_S = 15_000 / _DAY_S
_VIEWS_S = (1700 + 67) * 3 / _DAY_S  # leaving, gone, and back
_CLAIM_SHARE = 0.05  # of requests, assumed
_HOP_SHARE = 0.10  # of requests that come to another router, assumed
_RETENTION_S = 3600
_REPORT_MS = 1000
_MEASURED_REPORT_MS = 250
_MEASURED_ENGINES = 4

Results = dict[str, dict[str, float]]
Row = tuple[str, str, str]


def fill(page: str, results: Results) -> str:
    """Return the page with its tables made anew."""
    for name, make in _TABLES.items():
        text = _render(make(results))
        page = re.sub(
            f'(<!-- table:{name} -->\n).*?(<!-- end -->)',
            lambda found, text=text: found[1] + text + found[2],
            page,
            flags=re.DOTALL,
        )
    return page


def main() -> None:
    """Write the tables into the page."""
    results = json.loads(_RESULTS.read_text())
    _PAGE.write_text(fill(_PAGE.read_text(), results))


def _router(results: Results) -> list[Row]:
    """A router as entry and as steward: one node of 370."""
    hops, rest = results['hops'], results['increment']
    pieces, subs = results['pieces'], results['subscribers']
    requests, tokens = _REQUESTS_S / _NODES, _TOKENS_S / _NODES
    engines = _ENGINES / _NODES
    data = (
        requests * hops['one_hop_request_ms']
        + tokens * hops['one_hop_chunk_ms']
    )
    hop_extra = _HOP_SHARE * (
        requests * (hops['two_hops_request_ms'] - hops['one_hop_request_ms'])
        + tokens * (hops['two_hops_chunk_ms'] - hops['one_hop_chunk_ms'])
    )
    report = rest['today_ms_s'] - _MEASURED_ENGINES * rest['ms_s_per_engine']
    report *= _MEASURED_REPORT_MS / _REPORT_MS
    probes = engines * rest['ms_s_per_engine']
    changes = _CHANGES_S * pieces['apply_change_ms']
    views = _VIEWS_S * pieces['regard_view_ms']
    control = report + probes + changes + views
    entries_mb = (_ACCOUNTS + _ENGINES) * rest['kb_per_account'] / 1000
    sent = subs['at_370_rest_bytes_s_per_router']
    changed = _CHANGES_S * subs['at_370_change_bytes_per_router']
    viewed = _VIEWS_S * pieces['view_kb'] * 1000
    return [
        ('requests', f'{requests:.1f} /s', '3,200 over 370 nodes'),
        ('tokens', f'{tokens:,.0f} /s', '910,000 over 370 nodes'),
        ('engines stewarded', f'{engines:.1f}', '4,600 over 370 nodes'),
        (
            'data path, one hop',
            _core(data),
            'requests x hops.one_hop_request_ms + tokens x '
            'hops.one_hop_chunk_ms',
        ),
        (
            'data path, second hops',
            _core(hop_extra),
            f'{_HOP_SHARE:.0%} of requests, assumed; both routers counted',
        ),
        (
            'control: reports',
            _core(report),
            'increment.today_ms_s without probes, at a report a second',
        ),
        (
            'control: probes',
            _core(probes),
            'engines x increment.ms_s_per_engine, a probe a second',
        ),
        (
            'control: changes',
            _core(changes),
            f'{_CHANGES_S:.3f} /s x pieces.apply_change_ms',
        ),
        (
            'control: views',
            _core(views),
            f'{_VIEWS_S:.3f} /s x pieces.regard_view_ms',
        ),
        ('**control: processor**', f'**{_core(control)}**', 'limit 1.8 %'),
        (
            '**control: memory**',
            f'**{rest["control_mb"] + entries_mb:.1f} MB**',
            'increment.control_mb + 13,300 entries x '
            'increment.kb_per_account; limit 32 MB over the '
            f'{rest["bare_mb"]:.0f} MB of the process without control',
        ),
        (
            '**control: traffic**',
            f'**{(sent + changed + viewed) / 1000:.2f} KB/s**',
            f'reports {sent:.0f} + changes {changed:.0f} + views '
            f'{viewed:.0f} B/s; limit 19 KB/s',
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
    """The leading control replica."""
    subs, claims = results['subscribers'], results['claims']
    pairs = _REQUESTS_S * _CLAIM_SHARE
    sessions = _NODES * subs['leader_ms_s_per_router']
    claimed = pairs * claims['leader_ms_per_claim']
    kept = pairs * _RETENTION_S * claims['leader_kb_per_claim'] / 1000
    traffic = _NODES * subs['at_370_rest_bytes_s_per_router'] / 1000
    return [
        (
            'sessions',
            _core(sessions),
            '370 x subscribers.leader_ms_s_per_router',
        ),
        (
            'claims',
            _core(claimed),
            f'{pairs:.0f} /s ({_CLAIM_SHARE:.0%} of requests, assumed) x '
            'claims.leader_ms_per_claim',
        ),
        (
            'claims it could commit',
            f'{claims["per_second"]:,.0f} /s',
            'claims.per_second, claim and outcome, synced disks',
        ),
        (
            'memory without claims',
            f'{subs["at_370_leader_after_mb"]:.0f} MB',
            'subscribers.at_370_leader_after_mb',
        ),
        (
            'memory of claims',
            f'{kept:,.0f} MB',
            f'{pairs:.0f} /s x {_RETENTION_S} s x claims.leader_kb_per_claim',
        ),
        (
            'traffic to routers at rest',
            f'{traffic:.0f} KB/s',
            '370 x subscribers.at_370_rest_bytes_s_per_router',
        ),
        (
            'change in force on 370 routers',
            f'{subs["at_370_in_force_max_s"]:.2f} s',
            'subscribers.at_370_in_force_max_s; limit 4 s',
        ),
    ]


def _follower(results: Results) -> list[Row]:
    """A following control replica; a learner does the same."""
    claims, roll = results['claims'], results['roll']
    pairs = _REQUESTS_S * _CLAIM_SHARE
    return [
        (
            'claims',
            _core(pairs * claims['follower_ms_per_claim']),
            f'{pairs:.0f} /s x claims.follower_ms_per_claim',
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
    """A rack or a failure domain that comes back."""
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


def _core(milliseconds: float) -> str:
    """Show milliseconds a second as a share of a core."""
    return f'{milliseconds / 10:.2f} % of a core'


def _render(rows: list[Row]) -> str:
    lines = ['| what | at the target | from |', '| --- | --- | --- |']
    lines += [
        f'| {what} | {value} | {source} |' for what, value, source in rows
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
