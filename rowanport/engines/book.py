"""The speeds of all engines, by their runs."""

from .estimate import combine
from .estimate import default_estimate
from .estimate import FleetEstimate
from .estimate import median_of
from .read_speed import ReadSpeed

# Standard error of an engine's slowness, as a share of it, up to which it
# counts in the median of its service.
MAX_MEDIAN_ERROR = 0.5
# Seconds between two computations of the medians.
MEDIAN_INTERVAL = 2.0
# Factor by which a rate has to differ from the one last logged.
LOGGED_CHANGE = 1.25


class EngineSpeed:
    """The speed of one run of an engine.

    :ivar run: the UpstreamRun
    :ivar key: hash that identifies the run in messages
    :ivar service: name of its service
    :ivar samples: the ReadSpeed of this router and the routers that report to
        it
    :ivar fleet: the FleetEstimate of collectors
    :ivar changed_at: monotonic time of samples or estimates that are not yet
        merged, None if all are
    """

    __slots__ = (
        "run",
        "key",
        "service",
        "samples",
        "fleet",
        "changed_at",
        "_median",
        "_own",
        "_known",
        "_logged",
    )

    def __init__(self, run, key, service, assumed):
        self.run = run
        self.key = key
        self.service = service
        self.samples = ReadSpeed()
        self.fleet = FleetEstimate()
        self._own = None
        self.changed_at = None
        self._median = assumed
        self._known = assumed
        self._logged = assumed.rate

    @property
    def rate(self):
        """Return the prompt tokens that it reads per second."""
        if self.changed_at is not None:
            self._merge()
        return 1.0 / self._known.slowness

    @property
    def fixed(self):
        """Return the seconds to a first event besides those of reading."""
        if self.changed_at is not None:
            self._merge()
        return self._known.fixed

    @property
    def error(self):
        """Return the standard error of the rate, as a share of it."""
        if self.changed_at is not None:
            self._merge()
        return self._known.error / self._known.slowness

    def collected(self, assumed, now):
        """Return the Estimate by the samples that this router has.

        :param assumed: Estimate that is assumed without samples
        """
        if len(self.samples) and (self._own is None or self.samples.outdated):
            self._own = self.samples.estimate(assumed, now)
        return self._own

    def take_change(self):
        """Return whether the rate differs much from when this was true."""
        ratio = self.rate / self._logged
        if 1.0 / LOGGED_CHANGE < ratio < LOGGED_CHANGE:
            return False
        self._logged = self.rate
        return True

    def _merge(self):
        """Merge the samples with what collectors sent."""
        now = self.changed_at
        self.changed_at = None
        own = self.collected(self._median, now)
        estimates = (own, self.fleet.estimate(now))
        self._known = combine(estimates, self._median)


class SpeedBook:
    """The EngineSpeeds of the listed engines."""

    def __init__(self):
        self._speeds = {}
        self._by_key = {}
        self._medians = {}
        self._medians_until = 0.0

    def __len__(self):
        return len(self._speeds)

    def retain(self, runs):
        """Keep the speeds of these runs of engines, and of no others.

        :param runs: (UpstreamRun, its key, name of its service) of each
        """
        speeds = {}
        for run, key, service in runs:
            speed = self._speeds.get(run)
            if speed is None:
                median = self.median(service)
                speed = EngineSpeed(run, key, service, median)
            speeds[run] = speed
        self._speeds = speeds
        self._by_key = {speed.key: speed for speed in speeds.values()}

    def get(self, run):
        """Return the EngineSpeed of an UpstreamRun, or None."""
        return self._speeds.get(run)

    def speeds(self):
        """Return all EngineSpeeds."""
        return self._speeds.values()

    @property
    def fastest_median(self):
        """Return the greatest median rate of a service, in tokens a second."""
        return max((one.rate for one in self._medians.values()), default=0.0)

    def median(self, service):
        """Return the Estimate for engines without samples."""
        if service not in self._medians:
            self._medians[service] = default_estimate()
        return self._medians[service]

    def record(self, speed, tokens, seconds, now):
        """Record a first event of this router.

        :returns: whether it is within bounds
        """
        if not speed.samples.add(tokens, seconds, now):
            return False
        if speed.samples.outdated:
            speed.changed_at = now
        return True

    def collect(self, key, tokens, seconds, now):
        """Add a sample of a peer; unlisted runs are ignored."""
        speed = self._by_key.get(key)
        if speed is not None:
            speed.samples.add(tokens, seconds, now)

    def apply(self, key, estimate, now):
        """Merge an Estimate of a collector; unlisted runs are ignored."""
        speed = self._by_key.get(key)
        if speed is not None:
            speed.fleet.merge(estimate, now)
            speed.changed_at = now

    def refresh(self, now):
        """Compute the medians of the services, if they are due.

        :returns: the EngineSpeeds whose rate differs much from the one last
            logged
        """
        if now < self._medians_until:
            return []
        self._medians_until = now + MEDIAN_INTERVAL
        measured = {}
        for speed in self._speeds.values():
            if speed.error <= MAX_MEDIAN_ERROR:
                measured.setdefault(speed.service, []).append(speed)
        for service, speeds in measured.items():
            # Changed in place: engines without samples refer to it.
            self._medians[service].assign(median_of(speeds))
        return [one for one in self._speeds.values() if one.take_change()]

    def collected(self, now):
        """Return (EngineSpeed, Estimate) of the engines with samples here.

        Those that differ most from the median of their service come first.
        """
        rows = []
        for speed in self._speeds.values():
            median = self.median(speed.service)
            estimate = speed.collected(median, now)
            if estimate is not None:
                ratio = estimate.slowness / median.slowness
                rows.append((max(ratio, 1.0 / ratio), speed, estimate))
        rows.sort(key=lambda row: -row[0])
        return [(speed, estimate) for _ratio, speed, estimate in rows]
