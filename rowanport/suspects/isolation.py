"""Where a request is sent while upstreams crash under some requests.

If two suspects run beside each other, the next crash speaks against both.  So
each gets an upstream with as few others as possible, and what is likely to
crash the next one goes where the fewest requests are, and is left alone there.
"""

# Crashes from which on a request is likely to crash the next upstream, too.
LIKELY_CRASHES = 2
# Weight of a run of the same request at an upstream, in crashes of others.
SAME_WEIGHT = 4


def select_isolated(candidates, fingerprint, crashes, runs, now):
    """Return the UpstreamStates among some to which a request may go.

    :param candidates: UpstreamStates, at least one
    :param crashes: function from a fingerprint to the crashes against it
    :param runs: the SuspectRuns
    :returns: at least one
    """
    own = crashes(fingerprint)
    if not own:
        return _away_from_likely(candidates, crashes, runs, now)
    weights = {
        state: _weight(state, fingerprint, crashes, runs, now)
        for state in candidates
    }
    least = min(weights.values())
    apart = [state for state in candidates if weights[state] == least]
    if own < LIKELY_CRASHES:
        return apart
    idle = min(state.outstanding for state in apart)
    return [state for state in apart if state.outstanding == idle]


def _away_from_likely(candidates, crashes, runs, now):
    """Return those where nothing runs that likely crashes them, if any."""
    safe = [
        state
        for state in candidates
        if not any(
            crashes(other) >= LIKELY_CRASHES
            for other in runs.fingerprints_at(state.record.run.name, now)
        )
    ]
    return safe or candidates


def _weight(state, fingerprint, crashes, runs, now):
    """Return how much speaks against the suspects at an upstream."""
    others = runs.fingerprints_at(state.record.run.name, now)
    return sum(
        SAME_WEIGHT if other == fingerprint else crashes(other)
        for other in others
    )
