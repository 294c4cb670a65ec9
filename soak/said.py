"""Promises about what upstreams say of themselves in their answers."""

from .finding import Finding
from .history import NEVER
from .history import STOP

# Seconds after an answer that says that its upstream leaves until a router
# sends nothing new there.
DRAIN_TOLD = 2.0
# Faults that excuse a router.
INTERRUPTIONS = (STOP, "kill", "start", "freeze")


def check_said_leaving(history):
    """A router sends no new work to whose answer said that it leaves.

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
        if late <= DRAIN_TOLD or _was_interrupted(
            history, request.router, told, run.arrived_at
        ):
            continue
        evidence = (
            f"{run.request}, sent to {request.router} {late:.2f} s after an "
            f"answer of {run.upstream} had said that it leaves, reached it"
        )
        yield Finding("said_leaving", run.arrived_at, evidence)


def _was_interrupted(history, router, begun, ended, kinds=INTERRUPTIONS):
    """Return whether a router was started or frozen within a span."""
    return any(
        fault.touches(router, begun, ended)
        for fault in history.faults
        if fault.kind in kinds
    )
