"""The demand by organisation, of one router and of the fleet."""

from ..rates import DecayingRate

# Half-life in seconds of the average demand: an organisation's excess may
# last for only 6 s.
DEMAND_HALF_LIFE = 0.7
# Organisations whose demand a router reports, those with the largest.
REPORTED = 8
# Services that a router reports; the rest is left to its own demand.
MAX_SERVICES = 5
# Seconds after which the report of a router, or the state of the fleet, no
# longer counts.
MAX_AGE = 3.0
# Seconds for which a service counts as turning requests away.
TURNED_AWAY_SECONDS = 1.0
# Weight of a new state of the fleet.  A collector has heard from about half of
# the routers within MAX_AGE, another half each time, so states are averaged.
STATE_WEIGHT = 0.5
# Demand of the average, relative to the total, below which it is dropped.
NEGLIGIBLE_SHARE = 0.001


class Demand:
    """What is asked of one service, in units a second.

    :ivar total: demand of all organisations
    :ivar begun: work that upstreams began
    :ivar turned_away: whether upstreams turned requests away just now
    :ivar organisations: demand by organisation, of those with the largest
    """

    __slots__ = ("total", "begun", "turned_away", "organisations")

    def __init__(self, total, begun, turned_away, organisations):
        self.total = total
        self.begun = begun
        self.turned_away = turned_away
        self.organisations = organisations

    @property
    def others(self):
        """Return the demand of the organisations that are not named."""
        return max(0.0, self.total - sum(self.organisations.values()))


class _Own:
    """This router's demand of one service."""

    __slots__ = ("ranks", "begun", "turned_away_until")

    def __init__(self):
        # DecayingRate by rank, by organisation.
        self.ranks = {}
        self.begun = DecayingRate(DEMAND_HALF_LIFE)
        self.turned_away_until = 0.0

    def organisations(self, now):
        """Return the demand by organisation, without those that ended."""
        demands = {}
        for name in list(self.ranks):
            rates = self.ranks[name].values()
            demand = sum(rate.rate(now) for rate in rates)
            if demand > 0:
                demands[name] = demand
            else:
                del self.ranks[name]
        return demands

    def demand(self, now):
        demands = self.organisations(now)
        return Demand(
            sum(demands.values()),
            self.begun.rate(now),
            now < self.turned_away_until,
            demands,
        )


class DemandBook:
    """Keeps the demand of this router, of those that report, of the fleet.

    Services and organisations are identified by anything hashable.
    """

    def __init__(self):
        self._own = {}
        # (monotonic time, Demand by service) by reporting router.
        self._reports = {}
        self._fleet = {}
        self._fleet_at = None
        self._turned_away_until = {}

    # Own demand

    def record(self, service, organisation, rank, amount, now):
        """Count a request.

        :param rank: its rank, 0 is the most urgent
        :param amount: units of work that it asks for
        """
        ranks = self._service(service).ranks.setdefault(organisation, {})
        rate = ranks.get(rank)
        if rate is None:
            rate = ranks[rank] = DecayingRate(DEMAND_HALF_LIFE)
        rate.add(amount, now)

    def record_begun(self, service, amount, now):
        """Count work that an upstream began."""
        self._service(service).begun.add(amount, now)

    def record_turned_away(self, service, now):
        """Record that an upstream turned a request away."""
        own = self._service(service)
        own.turned_away_until = now + TURNED_AWAY_SECONDS

    def _service(self, service):
        return self._own.setdefault(service, _Own())

    def rank_parts(self, service, organisation, rank, now):
        """Return how an organisation's demand divides by urgency.

        :returns: the parts that are less urgent than a rank and as urgent
        """
        ranks = self._service(service).ranks.get(organisation, {})
        rates = {key: rate.rate(now) for key, rate in ranks.items()}
        total = sum(rates.values())
        if total <= 0:
            return 0.0, 0.0
        less = sum(rate for key, rate in rates.items() if key > rank)
        return less / total, rates.get(rank, 0.0) / total

    def report(self, now):
        """Return the largest part of the own Demand by service."""
        return _largest(
            {name: own.demand(now) for name, own in self._own.items()}
        )

    # Demand of the fleet

    def collect(self, sender, demands, now):
        """Take in what another router reported.

        :param demands: Demand by service
        """
        self._reports[sender] = (now, demands)

    def summarize(self, routers, now):
        """Return the estimated Demand of the fleet by service.

        Routers that did not report lately count as much as those that did.

        :param routers: number of the other routers that are alive
        """
        self._expire(now)
        totals = {}
        for at, demands in self._reports.values():
            scale = max(1.0, routers / len(self._reports))
            recent = now < at + TURNED_AWAY_SECONDS
            for service, demand in demands.items():
                _add(totals, service, demand, scale, recent)
        for service, demand in self.report(now).items():
            _add(totals, service, demand, 1.0, True)
        return _largest(totals)

    def _expire(self, now):
        oldest = now - MAX_AGE
        self._reports = {
            sender: report
            for sender, report in self._reports.items()
            if report[0] >= oldest
        }

    def apply(self, demands, now):
        """Take in the state of the fleet, as a collector estimates it.

        :param demands: Demand by service
        """
        known = self._fleet if self.knows_fleet(now) else {}
        for service, demand in demands.items():
            if demand.turned_away:
                until = now + TURNED_AWAY_SECONDS
                self._turned_away_until[service] = until
        self._fleet = {
            service: _average(known.get(service), demand)
            for service, demand in demands.items()
        }
        self._fleet_at = now

    def knows_fleet(self, now):
        """Return whether the state of the fleet was heard of lately."""
        return self._fleet_at is not None and now <= self._fleet_at + MAX_AGE

    def demand(self, service, now):
        """Return the Demand of a service as far as it is known.

        An organisation asks for at least what it asks of this router.
        """
        own = self._service(service).demand(now)
        fleet = self._fleet.get(service) if self.knows_fleet(now) else None
        if fleet is None:
            return own
        demands = dict(fleet.organisations)
        added = 0.0
        for name, demand in own.organisations.items():
            if name in demands and demand > demands[name]:
                added += demand - demands[name]
                demands[name] = demand
        return Demand(
            fleet.total + added,
            max(fleet.begun, own.begun),
            own.turned_away or self._turned_away(service, now),
            demands,
        )

    def _turned_away(self, service, now):
        return now < self._turned_away_until.get(service, 0.0)


def _largest(demands):
    """Return the Demands of the largest services and organisations."""
    services = sorted(demands, key=lambda name: -demands[name].total)
    result = {}
    for service in services[:MAX_SERVICES]:
        demand = demands[service]
        items = sorted(demand.organisations.items(), key=_by_size)
        result[service] = Demand(
            demand.total,
            demand.begun,
            demand.turned_away,
            dict(items[:REPORTED]),
        )
    return result


def _by_size(item):
    return -item[1]


def _add(totals, service, demand, scale, recent):
    """Add a Demand, scaled, to the total of its service."""
    total = totals.setdefault(service, Demand(0.0, 0.0, False, {}))
    total.total += scale * demand.total
    total.begun += scale * demand.begun
    total.turned_away |= recent and demand.turned_away
    for name, amount in demand.organisations.items():
        known = total.organisations.get(name, 0.0)
        total.organisations[name] = known + scale * amount


def _average(old, new):
    """Return the moving average of two Demands."""
    if old is None:
        return new

    def mix(before, after):
        return before + STATE_WEIGHT * (after - before)

    names = {**old.organisations, **new.organisations}
    total = mix(old.total, new.total)
    mixed = {
        name: mix(
            old.organisations.get(name, 0.0), new.organisations.get(name, 0.0)
        )
        for name in names
    }
    kept = {
        name: amount
        for name, amount in mixed.items()
        if amount > NEGLIGIBLE_SHARE * total
    }
    return Demand(total, mix(old.begun, new.begun), new.turned_away, kept)
