"""Promises about what upstreams say of themselves in their answers."""

from .finding import Finding
from .history import NEVER

# Seconds after an answer that says that its upstream leaves until a router
# sends nothing new there.
DRAIN_TOLD = 2.0
# Seconds after a refusal in which what was under way may arrive, and requests
# that may arrive in the rest of the time that an upstream asked for.
REST_GRACE = 0.5
MOST_IN_REST = 2
# Faults that excuse a router.  A signal to stop does not: it goes on working.
INTERRUPTIONS = ("kill", "start", "freeze")
CUTS = ("cut",)


def check_said_leaving(history):
    """A router sends nothing new to an upstream that said it leaves.

    Neither a lost store nor lost links excuse it, only a new start or a
    freeze of the router since then.
    """
    told_at = {}
    for run in history.runs:
        request = history.requests.get(run.request)
        if not run.says_leaving or request is None:
            continue
        if request.outcome == "whole" and run.sender == request.router:
            key = (request.router, run.upstream)
            at = min(request.ended_at, told_at.get(key, NEVER))
            told_at[key] = at
    for run in history.runs:
        request = history.requests.get(run.request)
        if request is None or run.sender != request.router:
            continue
        told = told_at.get((request.router, run.upstream), NEVER)
        late = request.sent_at - told
        if late <= DRAIN_TOLD or _was_disturbed(
            history, request.router, told, run.arrived_at
        ):
            continue
        evidence = (
            f"{run.request}, sent to {request.router} {late:.2f} s after an "
            f"answer of {run.upstream} had said that it leaves, reached it"
        )
        yield Finding("said_leaving", run.arrived_at, evidence)


def _was_disturbed(history, router, begun, ended, kinds=INTERRUPTIONS):
    """Return whether faults of some kinds struck a router within a span."""
    return any(
        fault.touches(router, begun, ended)
        for fault in history.faults
        if fault.kind in kinds
    )


def check_rests(history):
    """An upstream that asks for rest gets hardly any request meanwhile."""
    arrivals = {}
    for arrival in (*history.arrivals, *history.questions):
        key = (arrival.upstream, arrival.sender)
        arrivals.setdefault(key, []).append(arrival.at)
    for rest in history.rests:
        times = arrivals.get((rest.upstream, rest.router), ())
        late = [at for at in times if rest.at + REST_GRACE < at < rest.until]
        if len(late) <= MOST_IN_REST:
            continue
        # A refused request that a cut had held up was given up long ago: its
        # answer reaches nobody.
        held_up = rest.at - history.bounds.contact
        if _was_disturbed(history, rest.router, rest.at, late[-1]):
            continue
        if _was_disturbed(history, rest.router, held_up, late[-1], CUTS):
            continue
        evidence = (
            f"{rest.upstream} had asked {rest.router} for "
            f"{rest.until - rest.at:.2f} s of rest as it refused "
            f"{rest.request}, and got {len(late)} requests in it"
        )
        yield Finding("rest", late[MOST_IN_REST], evidence)
