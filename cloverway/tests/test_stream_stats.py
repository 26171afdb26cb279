from __future__ import annotations

from cloverway.upstream.stream_stats import GAP_BOUNDS_S, StreamMeter


def test_meter_counts_gaps_by_bucket() -> None:
    meter = StreamMeter()
    for tokens, now in ((0, 1.0), (1, 2.0), (1, 2.5), (2, 2.06), (4, 2.12), (5, 99.0)):
        meter.record_tokens(tokens, now)
    stats = meter.get_stats(100.0)
    assert (stats.tokens, stats.first_token_at, stats.gap_sum_s) == (5, 2.0, 97.0)
    buckets = [index for index, count in enumerate(stats.gap_counts) for _ in range(count)]
    assert buckets == [4, 4, len(GAP_BOUNDS_S)]
