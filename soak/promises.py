"""The promises, each a pure function from a History to Findings.

What a promise covers, and which disturbances excuse a router, follows the
platform's rules: a router is bound by a time only while it is in touch, that
is, undisturbed, with an undisturbed store, for ``contact`` seconds.
"""

import bisect

from .finding import Finding
from .history import FULL
from .history import NEVER
from .history import RELOAD
from .history import RESET
from .history import SEVER
from .history import STOP
from .history import STORE
from .notices import check_rests
from .notices import check_said_leaving
from .upstream import BAD_PART
from .upstream import LETHAL

NOT_RUN = (408, 421, 429, 503)
# The status of a request that ran and whose answer broke.
BROKEN = 502
# A kept connection that closes without an answer may cross the request.
MOST_CUT_IN_TOUCH = 3
# Seconds after the signal to stop by which a router is out of use: the
# balancer asks once a second and leaves out who misses twice.  The platform
# allows 4 s.
OUT_OF_USE = 2.0
PLANNED_KINDS = (STOP, RELOAD)
ANSWERED = ("whole", "cut")
# How many times as often a router may cut requests while a configuration
# comes, and the part of its time after which a request doesn't count.
MOST_OFTEN = 3
USED_UP = 0.7
# Seconds after the signal to stop until which callers are still sent.
TAKEN_EARLY = 3.0
# Seconds after the last disturbance by which requests are served again.
RECOVERY = 12.0
SERVED_SHARE = 0.25
FEWEST_REQUESTS = 8
# What an upstream may get in a window, in seconds, beyond the limit that it
# names: this many times as much, and some requests.
LIMIT_WINDOW = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# What routers that are cut off from all upstreams serve of first tries at
# least, as a share of what the others serve; and how many may fail: some, and
# a share of all.
SEVERED_SHARE = 2 / 3
SEVERED_FAILURES = 10
SEVERED_FAILED_SHARE = 1 / 50
# Streams that are taken up, at the fewest, of which a share goes on: this part
# of the share of new streams that begin.
FEWEST_RESUMED = 12
RESUMED_SHARE = 1 / 2
# Crashes under a request after which it is to be known, and runs of it later.
MOST_CRASHES = 3
MOST_LATE_RUNS = 3
# Crashes under one part of prompts after which it is to be known.
MOST_PART_CRASHES = 5
# Other streams that are counted at the fewest, before and after that, and the
# part of the share before that has to begin after it.
FEWEST_SHARERS = 20
SHARERS_SHARE = 1 / 2


def check_budgets(history):
    """No organisation gets more tokens than were paid for.

    Counted are the prompt, once a request that ran, and the tokens of each
    event once, whether or not it reached the caller.
    """
    totals = {}
    for version in history.versions:
        for name, total in version.totals.items():
            totals[name] = max(total, totals.get(name, 0))
    used = {}
    for id_, runs in history.runs_of().items():
        request = history.requests[id_]
        if not request.most or not request.organisation:
            continue
        tokens = {}
        for run in runs:
            tokens.update(run.tokens)
        spent = request.prompt + sum(tokens.values())
        name = request.organisation
        used[name] = used.get(name, 0) + spent
        if used[name] > totals.get(name, 0):
            evidence = f"{name} got more than its {totals.get(name, 0)} tokens"
            yield Finding("budget", runs[0].arrived_at, evidence)


def check_answers(history):
    """Each caller gets the whole of its own answer, or sees that it broke."""
    runs = history.runs_of()
    for request in history.requests.values():
        own = runs.get(request.id, [])
        if request.wrong and not _ended_early(history, request, own):
            evidence = (
                f"{request.id} {request.path} at {request.router}: "
                f"{request.wrong}"
            )
            yield Finding("whole_answer", request.ended_at, evidence)


def _ended_early(history, request, runs):
    """Return whether a short answer is all that its upstream sent.

    Nobody can tell that an answer without a length ended early if the upstream
    itself closed the connection in order, and lives on until the caller has
    the end.
    """
    if not request.short or not runs:
        return False
    last = runs[-1]
    return (
        last.unframed
        and last.broke_off
        and not last.garbled
        and request.events >= max(last.tokens, default=0)
        and history.upstream_ends.get(last.upstream, NEVER) > request.ended_at
    )


def check_broken_ends(history):
    """A whole answer without a length doesn't reach its caller as broken.

    It binds routers in touch, if the upstream lived on after the answer.
    """
    for id_, runs in history.runs_of().items():
        request = history.requests[id_]
        if not _broke(request) or request.ended_at >= request.until:
            continue
        sent = [
            run
            for run in runs
            if run.unframed and run.sent_whole and history.lived_on(run)
        ]
        if sent and history.in_touch(
            request.router, request.sent_at, request.ended_at
        ):
            evidence = (
                f"{id_} {request.path} at {request.router}: {request.outcome} "
                f"with status {request.status}, though {sent[-1].upstream} "
                "had sent all of its answer without a length"
            )
            yield Finding("broken_end", request.ended_at, evidence)


def _broke(request):
    """Return whether a request's caller saw its answer break."""
    return request.outcome == "cut" or request.status == BROKEN


def check_not_run(history):
    """A request answered 429, 503, 408 or 421 never runs."""
    for id_, runs in history.runs_of().items():
        request = history.requests[id_]
        if request.status in NOT_RUN and not request.signed:
            evidence = (
                f"{id_} {request.path} got {request.status} from "
                f"{request.router}, and ran at {runs[0].upstream}"
            )
            yield Finding("not_run", request.ended_at, evidence)


def check_at_most_once(history):
    """What may not be repeated runs once at most."""
    for id_, runs in history.runs_of().items():
        if len(runs) > 1 and not history.requests[id_].repeatable:
            evidence = f"{id_} {history.requests[id_].path} ran {len(runs)}x"
            yield Finding("at_most_once", runs[1].arrived_at, evidence)


def check_asked(history):
    """Upstreams run only what was sent, for whom it was sent."""
    for run in history.runs:
        request = history.requests.get(run.request)
        sent = request and (request.path, request.organisation)
        if sent != (run.path, run.organisation):
            evidence = (
                f"{run.upstream} ran {run.request} {run.path} for "
                f"'{run.organisation}', sent was {sent}"
            )
            yield Finding("asked", run.arrived_at, evidence)


def check_leaving(history):
    """A leaving upstream gets no new work after its bound."""
    bounds = history.bounds
    for leave in history.leaves:
        if not history.in_touch(STORE, leave.taken_at):
            continue
        for run in history.runs:
            late = run.arrived_at - leave.taken_at
            request = history.requests.get(run.request)
            if run.upstream != leave.upstream or late <= bounds.drain:
                continue
            if request is None or _held_up(history, request, run):
                continue
            if history.in_touch(
                request.router, request.sent_at, run.arrived_at, (FULL, SEVER)
            ):
                evidence = (
                    f"{run.request} from {request.router} reached "
                    f"{run.upstream} {late:.2f} s after it had said "
                    "that it leaves"
                )
                yield Finding("leaving", run.arrived_at, evidence)


def _held_up(history, request, run):
    """Return whether a run arrived late as its link had been lost.

    The platform doesn't count as late what a link held up that was harmed
    within the time of contact.
    """
    begun = run.arrived_at - history.bounds.contact
    return any(
        fault.touches(run.sender or request.router, begun, run.arrived_at)
        for fault in history.faults
        if fault.kind == SEVER
    )


def check_planned_stop(history):
    """A planned stop, or a reload, cuts no request."""
    for request in _requests_cut(history):
        work = _work_that_cut(history, request)
        if work is not None:
            after = request.sent_at - work.begun
            evidence = (
                f"{request.id} {request.path} at {request.router}: sent "
                f"{after:+.2f} s after {work.kind}, cut after "
                f"{request.ended_at - request.sent_at:.2f} s"
            )
            yield Finding("planned_stop", request.ended_at, evidence)


def _work_that_cut(history, request):
    """Return the last stop or reload that cut a request, or None."""
    for work in reversed(history.faults):
        if (
            work.kind in PLANNED_KINDS
            and request.router in work.targets
            and _cut_by(history, work, request)
        ):
            return work
    return None


def _requests_cut(history):
    """Return the requests that only a router itself can have cut."""
    runs = history.runs_of()
    return [
        request
        for request in history.requests.values()
        if request.outcome == "cut"
        and not _excused(history, request, runs.get(request.id, []))
    ]


def _excused(history, request, runs):
    """Return whether something else than planned work may have cut it."""
    if request.ended_at >= request.until:
        return True
    # What broke off before the last run was no reason to end it.
    if runs and runs[-1].broke_off:
        return True
    waited = request.ended_at - request.sent_at
    if not runs and waited <= history.bounds.slack:
        return True
    stops = _stops(history, request)
    if any(_filled_grace(history, stop, request, runs) for stop in stops):
        return True
    begun = request.sent_at - history.bounds.contact
    names = [request.router, STORE, *(run.upstream for run in runs)]
    return any(
        fault.touches(name, begun, request.ended_at)
        for fault in history.faults
        if not fault.planned
        for name in names
    )


def _stops(history, request):
    """Return the stops of a request's router."""
    return [
        fault
        for fault in history.faults
        if fault.kind == STOP and request.router in fault.targets
    ]


def _filled_grace(history, stop, request, runs):
    """Return whether its upstream worked until the grace period was over.

    Such work cannot be waited for.  It excuses no request that was sent
    when the balancer had left the router out.
    """
    grace = history.bounds.grace
    last = stop.begun + grace - grace / 6
    early = request.sent_at <= stop.begun + TAKEN_EARLY
    return (
        early
        and last <= request.ended_at <= stop.begun + grace + 1
        and any(run.ended_at >= last for run in runs)
    )


def _cut_by(history, work, request):
    """Return whether a request was cut by the process that was told."""
    if request.ended_at < work.begun:
        return False
    if work.kind == RELOAD:
        return request.sent_at <= work.begun + history.bounds.apply
    if request.sent_at > work.ended:
        return False
    return request.ended_at <= work.begun + history.bounds.grace + 1


def check_planned_change(history):
    """A new configuration cuts no more requests than other times do.

    What a stop or a reload cut is found by their own promise.
    """
    ended = [r for r in history.requests.values() if r.outcome in ANSWERED]
    cut = [
        request
        for request in _requests_cut(history)
        if not _used_up(request) and not _work_that_cut(history, request)
    ]
    for router in {request.router for request in cut}:
        own = [r for r in ended if r.router == router]
        near = [r for r in own if _near_change(history, r)]
        near_cut = [r for r in cut if r in near]
        other = len(own) - len(near)
        other_cut = sum(r.router == router for r in cut) - len(near_cut)
        # Shares of those that ended, multiplied out.
        if len(near_cut) * other > MOST_OFTEN * other_cut * len(near):
            for request in near_cut:
                evidence = (
                    f"{request.id} {request.path} at {router}: cut after "
                    f"{request.ended_at - request.sent_at:.2f} s, as a new "
                    "configuration came"
                )
                yield Finding("planned_change", request.ended_at, evidence)


def _used_up(request):
    """Return whether a request has had most of its time."""
    waited = request.ended_at - request.sent_at
    return waited >= USED_UP * (request.until - request.sent_at)


def _near_change(history, request):
    """Return whether a request ended while a configuration came."""
    late = history.bounds.apply + 1
    return any(
        version.sent_at <= request.ended_at <= version.taken_at + late
        for version in history.versions
    )


def check_lost(history):
    """A router in touch doesn't lose requests that it passed on."""
    runs = history.runs_of()
    cut = []
    for request in history.requests.values():
        own = runs.get(request.id, [])
        if request.outcome != "cut" or not own:
            continue
        if any(run.broke_off for run in own):
            continue
        names = [request.router, *(run.upstream for run in own)]
        if request.ended_at < request.until and all(
            history.in_touch(name, request.sent_at, request.ended_at)
            for name in names
        ):
            cut.append(request)
    if len(cut) > MOST_CUT_IN_TOUCH:
        names = " ".join(f"{r.id}@{r.router}" for r in cut[:6])
        evidence = f"requests were cut by routers in touch: {names}"
        yield Finding("lost", cut[MOST_CUT_IN_TOUCH].ended_at, evidence)


def check_configuration(history):
    """A configuration is in force within its bound, and never older."""
    versions = {version.number: version for version in history.versions}
    for probe in history.probes:
        version = versions.get(probe.version)
        if probe.known or version is None:
            continue
        late = probe.sent_at - version.taken_at
        if late > history.bounds.apply and history.in_touch(
            probe.router, probe.sent_at, probe.ended_at, (SEVER,)
        ):
            evidence = (
                f"{probe.router} doesn't know version {probe.version} "
                f"{late:.2f} s after it was taken"
            )
            yield Finding("configuration", probe.sent_at, evidence)
    yield from _check_never_older(history)


def _check_never_older(history):
    newest = {}
    for probe in sorted(history.probes, key=lambda p: p.ended_at):
        life = (probe.router, probe.life)
        version, since = newest.get(life, (0, 0.0))
        if probe.known:
            if probe.version > version:
                newest[life] = (probe.version, probe.ended_at)
        elif (
            probe.version <= version
            and probe.sent_at > since + history.bounds.rollback
        ):
            evidence = (
                f"{probe.router} went by version {version} and "
                f"doesn't know {probe.version} any more"
            )
            yield Finding("never_older", probe.sent_at, evidence)


def check_readiness(history):
    """A stopping router soon says that it isn't ready."""
    for stop in history.faults:
        if stop.kind != "term":
            continue
        for answer in history.readiness:
            late = answer.at - stop.begun
            if (
                answer.router in stop.targets
                and answer.ready
                and OUT_OF_USE < late
                and answer.at <= stop.ended
            ):
                evidence = (
                    f"{answer.router} is ready {late:.2f} s after the "
                    "signal to stop"
                )
                yield Finding("readiness", answer.at, evidence)


def check_own_ends(history):
    """No process ends by itself, and no task of one fails."""
    for end in history.own_ends:
        evidence = f"{end.router} ended by itself with {end.code}"
        yield Finding("own_end", end.at, evidence)
    for router, at, text in history.failed_tasks:
        yield Finding("failed_task", at, f"{router}: {text}")


def check_recovery(history):
    """Requests are served again when the disturbances are over."""
    begun = history.calm_at + RECOVERY
    late = [
        request
        for request in history.requests.values()
        if request.sent_at > begun
        and request.outcome in ("whole", "cut")
        and not request.most
    ]
    served = [request for request in late if request.status == 200]
    if len(late) < FEWEST_REQUESTS:
        return
    if len(served) < SERVED_SHARE * len(late):
        evidence = f"{len(served)} of {len(late)} served after the last fault"
        yield Finding("recovery", begun, evidence)


def check_lethal(history):
    """A request that crashes upstreams is soon sent to none."""
    runs = {}
    for run in history.runs:
        if LETHAL in run.path:
            runs.setdefault(run.path, []).append(run)
    yield from _check_known(history, "lethal", runs, MOST_CRASHES)


def check_bad_parts(history):
    """Requests with a part that crashes upstreams are soon sent to none."""
    yield from _check_known(
        history, "bad_part", _runs_by_part(history), MOST_PART_CRASHES
    )


def _check_known(history, promise, runs, most):
    """Yield what was sent although upstreams had crashed under it.

    :param runs: the Runs that have something in common, by its name
    :param most: crashes after which it is to be known
    """
    for name, same in runs.items():
        crashes = sorted(run.ended_at for run in same if run.crashed)
        if len(crashes) < most:
            continue
        known_at = crashes[most - 1] + history.bounds.contact
        late = [
            run
            for run in same
            if run.arrived_at > known_at
            and history.in_touch(
                history.requests[run.request].router, run.arrived_at
            )
        ]
        if len(late) > MOST_LATE_RUNS:
            evidence = (
                f"{name} was sent to upstreams {len(late)} times more; "
                f"{len(crashes)} crashed in all"
            )
            yield Finding(promise, late[MOST_LATE_RUNS].arrived_at, evidence)


def _runs_by_part(history):
    """Return the runs of requests with a bad part, by its name."""
    runs = {}
    for run in history.runs:
        if BAD_PART in run.path:
            part = run.path.split("/")[-1].partition("-")[0]
            runs.setdefault(part, []).append(run)
    return runs


def check_part_sharers(history):
    """Streams that share other parts with bad requests begin as before.

    Counted are first tries at routers in touch, from twice the time of contact
    after the crash by which a bad part is to be known, while requests with it
    still come.
    """
    sound = [
        request
        for request in history.requests.values()
        if request.first
        and request.most
        and request.outcome
        and request.status != 402
        and BAD_PART not in request.path
        and history.in_touch(request.router, request.sent_at, request.ended_at)
    ]
    for part, runs in _runs_by_part(history).items():
        crashes = sorted(run.ended_at for run in runs if run.crashed)
        if not crashes:
            continue
        known_at = crashes[:MOST_PART_CRASHES][-1]
        begun = known_at + 2 * history.bounds.contact
        asked = [
            request.sent_at
            for request in history.requests.values()
            if f"/{part}-" in request.path
        ]
        before = [r.events > 0 for r in sound if r.ended_at < crashes[0]]
        after = [
            r.events > 0 for r in sound if begun < r.sent_at <= max(asked)
        ]
        if min(len(before), len(after)) < FEWEST_SHARERS:
            continue
        share = sum(after) / len(after)
        if share < SHARERS_SHARE * sum(before) / len(before):
            evidence = (
                f"{sum(after)} of {len(after)} streams begin beside {part}, "
                f"{sum(before)} of {len(before)} before"
            )
            yield Finding("part_sharers", begun, evidence)


def check_limits(history):
    """An upstream gets no more than the rate limit that it names."""
    arrivals = {}
    for arrival in history.arrivals:
        request = history.requests.get(arrival.request)
        if request and history.in_touch(request.router, arrival.at):
            arrivals.setdefault(arrival.upstream, []).append(arrival.at)
    for limit in history.limits:
        if limit.named_at is None:
            continue
        since = limit.named_at + history.bounds.contact
        times = [
            at
            for at in arrivals.get(limit.upstream, ())
            if since <= at <= limit.ended
        ]
        allowed = LIMIT_FACTOR * limit.rate * LIMIT_WINDOW + LIMIT_SLACK
        for number, at in enumerate(times):
            count = bisect.bisect_left(times, at + LIMIT_WINDOW) - number
            if count > allowed:
                evidence = (
                    f"{limit.upstream} named {limit.rate} a second and got "
                    f"{count} in {LIMIT_WINDOW} s, allowed {allowed}"
                )
                yield Finding("limit", at, evidence)
                break


def check_evacuated(history):
    """An evacuated data centre gets no new work after its bound."""
    bounds = history.bounds
    for evacuation in history.evacuations:
        if not history.in_touch(STORE, evacuation.taken_at):
            continue
        since = evacuation.taken_at + bounds.evacuate
        for run in history.runs:
            request = history.requests.get(run.request)
            if not since < run.arrived_at < evacuation.ended:
                continue
            where = history.data_centres.get(run.upstream)
            if request is None or where != evacuation.data_centre:
                continue
            if history.in_touch(
                request.router, request.sent_at, run.arrived_at
            ):
                late = run.arrived_at - evacuation.taken_at
                evidence = (
                    f"{run.request} from {request.router} reached "
                    f"{run.upstream} {late:.2f} s after the evacuation of "
                    f"{where}"
                )
                yield Finding("evacuated", run.arrived_at, evidence)


def check_cold(history):
    """A cold upstream gets few requests a second, from all routers."""
    arrivals = {}
    for arrival in history.arrivals:
        arrivals.setdefault(arrival.upstream, []).append(arrival.at)
    most = history.bounds.cold_requests
    for cold in history.colds:
        times = [
            at
            for at in arrivals.get(cold.upstream, ())
            if cold.since <= at <= cold.until
        ]
        for number, at in enumerate(times):
            count = bisect.bisect_left(times, at + 1.0) - number
            if count > most:
                evidence = (
                    f"{cold.upstream} was cold and got {count} requests in a"
                    f" second, allowed {most}"
                )
                yield Finding("cold", at, evidence)
                break


def check_severed(history):
    """Routers cut off from all upstreams serve nearly as often as others.

    Counted are first tries at routers that nothing else disturbs.  A caller
    that left in the middle of an answer says nothing.
    """
    for cut in history.faults:
        if cut.kind != SEVER or cut.ended == NEVER:
            continue
        there = {True: [], False: []}
        tries = _first_tries(history, cut)
        if any(request.ended_at == NEVER for request in tries):
            continue
        for request in tries:
            severed = request.router in cut.targets
            if severed and not _anyone_reaches(history, request.sent_at):
                continue
            # While another cut strikes the others there is nothing to compare.
            if severed or not _severed(history, request):
                there[severed].append(request.status == 200)
        served, missed = sum(there[True]), there[True].count(False)
        others, count = sum(there[False]), len(there[False])
        few = served * count < SEVERED_SHARE * others * len(there[True])
        most = SEVERED_FAILURES + SEVERED_FAILED_SHARE * len(tries)
        if few and missed > most:
            names = " ".join(sorted(cut.targets))
            evidence = (
                f"cut off from all upstreams at {names}: {served} of "
                f"{served + missed} first tries served, at the others "
                f"{others} of {count}"
            )
            yield Finding("severed", cut.ended, evidence)


def _first_tries(history, cut):
    """Return the first tries during a cut at routers otherwise in touch."""
    begun = cut.begun + history.bounds.contact
    return [
        request
        for request in history.requests.values()
        if request.first
        and begun <= request.sent_at <= cut.ended
        and not (request.outcome == "left" and request.status == 200)
        and history.in_touch(
            request.router, request.sent_at, request.ended_at, (SEVER,)
        )
    ]


def _anyone_reaches(history, at):
    """Return whether some router in touch reaches the upstreams.

    One that was told to stop takes no new work.
    """
    routers = {request.router for request in history.requests.values()}
    # Of what was not sent.
    routers.discard("")
    cut = {
        router
        for router in routers
        for fault in history.faults
        if fault.kind == SEVER and fault.touches(router, at, at)
    }
    return any(
        history.in_touch(router, at, at, (SEVER,)) for router in routers - cut
    )


def _severed(history, request):
    """Return whether any cut from the upstreams strikes its router."""
    begun = request.sent_at - history.bounds.contact
    return any(
        fault.touches(request.router, begun, request.ended_at)
        for fault in history.faults
        if fault.kind == SEVER
    )


def check_blamed(history):
    """No request is refused for good that crashes nothing."""
    for request in history.requests.values():
        refused = request.status == 400 and not request.signed
        bad = LETHAL in request.path or BAD_PART in request.path
        if refused and not bad:
            evidence = f"{request.id} {request.path} got 400"
            yield Finding("blamed", request.ended_at, evidence)


def check_versions(history):
    """No stream holds events of two versions, over all tries of its caller."""
    versions = {}
    for request in history.requests.values():
        seen = versions.setdefault(request.stream, set())
        seen |= request.versions
        if len(seen) > 1:
            evidence = f"{request.stream} holds events of several versions"
            yield Finding("versions", request.ended_at, evidence)


def check_taken_up(history):
    """Streams that are taken up go on half as often as new ones begin.

    Counted are those at routers in touch, while two upstreams of their version
    serve.
    """
    versions = {}
    for request in history.requests.values():
        versions.setdefault(request.stream, set()).update(request.versions)
    resumed, begun = [], []
    ended = [r for r in history.requests.values() if r.outcome and r.most]
    for request in ended:
        if not request.repeatable:
            continue
        if request.outcome == "unsent" or not history.in_touch(
            request.router, request.sent_at, request.ended_at, (RESET,)
        ):
            continue
        goes_on = request.events > request.after
        if not request.resumes:
            begun.append(goes_on)
        elif _has_two(history, versions[request.stream], request):
            resumed.append(goes_on)
    if len(resumed) < FEWEST_RESUMED or not begun:
        return
    share = sum(resumed) / len(resumed)
    if share < RESUMED_SHARE * sum(begun) / len(begun):
        evidence = f"{sum(resumed)} of {len(resumed)} streams went on"
        yield Finding("taken_up", max(r.ended_at for r in ended), evidence)


def _has_two(history, versions, request):
    """Return whether two upstreams of a stream's version serve throughout."""
    serving = [
        one
        for one in history.serving
        if f" {one.version}".partition(" v")[2] in versions
        and one.begun <= request.sent_at
        and one.ended >= request.ended_at
    ]
    return len(serving) > 1


def check_repeats(history):
    """Upstreams get no more repeats than the fleet is allowed.

    Counted are arrivals beyond the first of their request, run or not, in each
    window; requests in whichever has most of that window, the one before it
    and the one half a window before it.
    """
    ratio, slack = history.bounds.repeats
    window = history.bounds.repeat_window
    seen = set()
    repeats = []
    for arrival in sorted(history.arrivals, key=lambda one: one.at):
        if arrival.request in seen:
            repeats.append(arrival.at)
        elif arrival.request in history.requests:
            seen.add(arrival.request)
    sent = sorted(request.sent_at for request in history.requests.values())
    for number, at in enumerate(repeats):
        if not sent or sent[-1] < at + window:
            # Requests of this window are still to come.
            return
        count = bisect.bisect_left(repeats, at + window) - number
        requests = max(
            _count_between(sent, start, start + window)
            for start in (at, at - window / 2, at - window)
        )
        if count > ratio * requests + slack:
            evidence = f"{count} repeats for {requests} requests"
            yield Finding("repeats", at, evidence)
            return


def _count_between(times, begun, ended):
    return bisect.bisect_left(times, ended) - bisect.bisect_left(times, begun)


PROMISES = (
    check_budgets,
    check_answers,
    check_broken_ends,
    check_not_run,
    check_at_most_once,
    check_asked,
    check_leaving,
    check_said_leaving,
    check_rests,
    check_planned_stop,
    check_planned_change,
    check_lost,
    check_configuration,
    check_readiness,
    check_own_ends,
    check_recovery,
    check_lethal,
    check_bad_parts,
    check_part_sharers,
    check_blamed,
    check_limits,
    check_evacuated,
    check_cold,
    check_severed,
    check_repeats,
    check_versions,
    check_taken_up,
)


def check(history):
    """Return all Findings, each once, in the order of their times."""
    found = {}
    for promise in PROMISES:
        for finding in promise(history):
            found.setdefault(finding.key, finding)
    return sorted(found.values(), key=lambda finding: finding.at)
