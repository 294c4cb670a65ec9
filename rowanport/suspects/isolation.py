"""Selects upstreams such that suspects are isolated from other requests.

If two suspects run on the same upstream, its crash counts against both.  So a
suspect is sent to an upstream with as few other suspects as possible.  One
that is likely to crash its upstream is sent to the one with the fewest
requests, and other requests avoid that upstream.
"""

from .blame import LIKELY_CRASHES

# Weight of another run of the same request, or of the same suspected part, on
# an upstream.  The weight of another suspect is its number of crashes.
SAME_WEIGHT = 4


def select_isolated(candidates, fingerprints, crashes, runs, now):
    """Return the candidates on which a request is isolated best.

    :param candidates: UpstreamStates, at least one
    :param fingerprints: those of the request and of its parts
    :param crashes: function that returns the number of crashes of a suspect
        by its fingerprint
    :param runs: the SuspectRuns
    :param now: monotonic time in seconds
    :returns: UpstreamStates, at least one
    """
    crash_count = max(map(crashes, fingerprints))
    if not crash_count:
        return _avoid_likely_crashes(candidates, crashes, runs, now)
    weights = {
        state: _weight(state, fingerprints, crashes, runs, now)
        for state in candidates
    }
    lowest = min(weights.values())
    isolated = [state for state in candidates if weights[state] == lowest]
    if crash_count < LIKELY_CRASHES:
        return isolated
    fewest = min(state.outstanding for state in isolated)
    return [state for state in isolated if state.outstanding == fewest]


def _avoid_likely_crashes(candidates, crashes, runs, now):
    """Return the candidates that no running suspect is likely to crash.

    If there is none, return all.
    """
    safe = [
        state
        for state in candidates
        if not any(
            crashes(other) >= LIKELY_CRASHES
            for other in runs.fingerprints_at(state.record.run.name, now)
        )
    ]
    return safe or candidates


def _weight(state, fingerprints, crashes, runs, now):
    """Return the total weight of the suspects that run on an upstream."""
    others = runs.fingerprints_at(state.record.run.name, now)
    return sum(
        SAME_WEIGHT if other in fingerprints else crashes(other)
        for other in others
    )
