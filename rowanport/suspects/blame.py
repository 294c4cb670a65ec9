"""Decides which requests are blocked, by what their crashes have in common.

A suspect is a request, or a part of prompts that requests have in common.
Many requests run on an upstream that crashes, and each has several parts, so
a part is blamed only for crashes that nothing else explains.  A popular
suspect runs on many upstreams, so that crashes meet it that it did not cause:
those of a rack are one event, and a crash beside other runs of it is no proof.
"""

import bisect
import math

# Number of separate crashes at which a suspect is blocked by all routers.
BLOCK_THRESHOLD = 3
# Number of crashes from which a suspect is likely to crash its upstream.
LIKELY_CRASHES = 2
# Most other parts that may explain the crashes under a part.  Without a limit
# a bad part would never be blamed if each request combined it with new ones.
MOST_EXPLANATIONS = 2
# If this many requests, or parts, reach the threshold within this many
# seconds, none of them is blocked: the upstreams then crash whatever they run.
STORM_SUSPECTS = 10
STORM_SECONDS = 60.0
# Crashes within this many seconds count as one crash of a suspect: a rack that
# fails takes all its upstreams along, whatever they run.
TOGETHER_SECONDS = 0.1
# Most upstreams that may crash together if a crash is to count as isolated:
# two suspects that crash upstreams may happen to crash one each.
MOST_TOGETHER = 2
# Number of isolated crashes among those at which a suspect is blocked.  It
# runs one at a time by then, so one that crashes upstreams soon causes them; a
# fault of many upstreams at once never does.
ISOLATED_THRESHOLD = 2
# Most upstreams that may run a suspect as one of them crashes, if that crash
# is to count beside another one: as many as may run it after its first crash.
# A crash by chance nearly always meets a suspect that runs nearly everywhere.
MOST_RUNNING = 2
# Most crashes whose times are known; the last ones that became known are kept.
TIMES_LIMIT = 4096


def is_part(fingerprint):
    """Return whether a fingerprint is that of a part of prompts."""
    return fingerprint < 0


def count_separate(times):
    """Return how many of some crashes did not happen together.

    :param times: monotonic times of the crashes
    """
    count, last = 0, -math.inf
    for at in sorted(times):
        if at > last + TOGETHER_SECONDS:
            count += 1
            last = at
    return count


class CrashGroup:
    """Crashes under a suspect that happened together.

    :ivar at: monotonic time of the first one
    :ivar isolated: whether it is the only one, and few other upstreams
        crashed together with it
    """

    __slots__ = ("at", "isolated")

    def __init__(self, at, isolated):
        self.at = at
        self.isolated = isolated


class CrashTimes:
    """When upstreams crashed, whatever they ran."""

    __slots__ = ("_times", "_sorted")

    def __init__(self):
        self._times = {}
        self._sorted = []

    def add(self, run, at):
        """Add a crash; return whether it was unknown.

        :param run: name of the UpstreamRun
        :param at: monotonic time of the crash
        """
        if run in self._times:
            return False
        self._times[run] = at
        bisect.insort(self._sorted, at)
        if len(self._times) > TIMES_LIMIT:
            oldest = self._times.pop(next(iter(self._times)))
            self._sorted.remove(oldest)
        return True

    def group(self, times):
        """Return the CrashGroups of some crashes, in the order of time.

        :param times: monotonic times of crashes that were added
        """
        groups = []
        for at in sorted(times):
            if groups and at <= groups[-1].at + TOGETHER_SECONDS:
                groups[-1].isolated = False
            else:
                isolated = self._count_together(at) <= MOST_TOGETHER
                groups.append(CrashGroup(at, isolated))
        return groups

    def _count_together(self, at):
        """Return how many upstreams crashed together with one at a time."""
        first = bisect.bisect_left(self._sorted, at - TOGETHER_SECONDS)
        return bisect.bisect_right(self._sorted, at + TOGETHER_SECONDS) - first


class Storms:
    """Spans in which too many suspects reach the threshold to blame them.

    :param times: monotonic times at which suspects reached it
    """

    __slots__ = ("_times",)

    def __init__(self, times):
        self._times = sorted(times)

    def include(self, at):
        """Return whether a monotonic time lies within a storm."""
        first = bisect.bisect_left(self._times, at - STORM_SECONDS)
        last = bisect.bisect_right(self._times, at + STORM_SECONDS)
        return last - first >= STORM_SUSPECTS


class Blame:
    """The suspects at the threshold, as of the last change of the table.

    :param suspects: Suspects with at least LIKELY_CRASHES uncleared crashes
    :param times: the CrashTimes
    """

    __slots__ = (
        "_times",
        "_likely_parts",
        "_likely_requests",
        "_parts",
        "_request_times",
        "_requests",
    )

    def __init__(self, suspects, times):
        self._times = times
        self._likely_parts = [s for s in suspects if is_part(s.fingerprint)]
        self._likely_requests = [
            s for s in suspects if not is_part(s.fingerprint)
        ]
        self._parts = self._parts_at_threshold()
        # When a request reached the threshold, by fingerprint.
        self._request_times = {}
        self._requests = self._requests_at_threshold()

    @property
    def blocked(self):
        """Return the suspects for which requests are blocked, by fingerprint.

        A request with only one of several parts that explain the same crashes
        may run nevertheless.
        """
        return {**self._parts, **self._requests}

    def blocking(self, fingerprints):
        """Return the Suspect for which a request is blocked, or None.

        A part is blamed only for crashes that nothing else explains: neither
        one other request, nor few parts that this request does not have.
        Which of two parts that always crashed together is bad is found out by
        requests with one of them.

        :param fingerprints: those of the request and of its parts
        """
        if not any(
            one in self._parts or one in self._requests for one in fingerprints
        ):
            return None
        parts = _without(self._likely_parts, fingerprints)
        requests = _without(self._likely_requests, fingerprints)
        for fingerprint in fingerprints:
            part = self._parts.get(fingerprint)
            if part is not None and self._is_blamed(part, parts, requests):
                return part
            if fingerprint in self._requests:
                return self._requests[fingerprint]
        return None

    def explained_by_parts(self, before):
        """Return the names of the UpstreamRuns that bad parts crashed.

        :param before: monotonic time before which the parts reached the
            threshold
        """
        runs = set()
        for part in self._parts.values():
            others = _without(self._likely_parts, [part.fingerprint])
            if self._reached_at(
                part, part.uncleared_crashes
            ) < before and self._is_blamed(
                part, others, self._likely_requests
            ):
                runs.update(part.uncleared_crashes)
        return runs

    def explained_by_requests(self, before):
        """Return the names of the UpstreamRuns that blocked requests crashed.

        :param before: monotonic time before which the requests reached the
            threshold
        """
        runs = set()
        for request in self._requests.values():
            if self._request_times[request.fingerprint] < before:
                runs.update(request.crashes)
        return runs

    def _is_blamed(self, part, parts, requests):
        """Return whether nothing else explains the crashes under a part.

        :param parts: other Suspects, few of which may explain them together
        :param requests: Suspects, each of which may explain all of them
        """
        runs = set(part.uncleared_crashes)
        if any(runs.issubset(one.uncleared_crashes) for one in requests):
            return False
        for _explanation in range(MOST_EXPLANATIONS):
            common = [runs.intersection(p.uncleared_crashes) for p in parts]
            runs.difference_update(max(common, key=len, default=()))
        return self._reached_at(part, runs) is not None

    def _parts_at_threshold(self):
        """Return the parts at the threshold, by fingerprint."""
        reached = {}
        for part in self._likely_parts:
            at = self._reached_at(part, part.uncleared_crashes)
            if at is not None:
                reached[part] = at
        storms = Storms(reached.values())
        stormy = [part for part, at in reached.items() if storms.include(at)]
        if stormy:
            # Parts that only ran beside one bad part are no storm.
            few = self._find_hitting_set(stormy)
            storms = Storms([reached[part] for part in few])
        return {
            part.fingerprint: part
            for part, at in reached.items()
            if not storms.include(at)
        }

    def _find_hitting_set(self, parts):
        """Return few parts that explain the crashes under all of them.

        Greedy: the part with the most crashes first.
        """
        left, chosen = list(parts), []
        explained = set()
        while left:
            best = max(
                left, key=lambda p: (len(p.uncleared_crashes), p.fingerprint)
            )
            chosen.append(best)
            explained.update(best.uncleared_crashes)
            left = [
                part
                for part in left
                if part is not best
                and self._reached_at(
                    part, set(part.uncleared_crashes) - explained
                )
                is not None
            ]
        return chosen

    def _requests_at_threshold(self):
        """Return the requests at the threshold, by fingerprint.

        Crashes that a part at the threshold explains do not count.
        """
        explained = set()
        for part in self._parts.values():
            explained.update(part.uncleared_crashes)
        reached = {}
        for request in self._likely_requests:
            runs = set(request.uncleared_crashes) - explained
            at = self._reached_at(request, runs)
            if at is not None:
                reached[request] = at
                self._request_times[request.fingerprint] = at
        storms = Storms(reached.values())
        return {
            request.fingerprint: request
            for request, at in reached.items()
            if not storms.include(at)
        }

    def _reached_at(self, suspect, runs):
        """Return when a suspect reached the threshold.

        :param runs: names of the UpstreamRuns whose crash counts
        :returns: monotonic time, None if it has not
        """
        groups = self._times.group(suspect.crashes[run] for run in runs)
        isolated = [group for group in groups if group.isolated]
        if len(groups) < BLOCK_THRESHOLD:
            return None
        if len(isolated) < ISOLATED_THRESHOLD:
            return None
        return max(
            groups[BLOCK_THRESHOLD - 1].at, isolated[ISOLATED_THRESHOLD - 1].at
        )


def _without(suspects, fingerprints):
    """Return the Suspects that have none of some fingerprints."""
    return [s for s in suspects if s.fingerprint not in fingerprints]
