"""Finds out which upstreams have crashed, by connecting to them."""

import asyncio
import random

from ..web.client import Listening

# Most other upstreams that are asked after a crash, and seconds for which
# their answers are waited for: a process that has ended refuses at once.
SURVEY_LIMIT = 16
SURVEY_SECONDS = 0.1


class CrashProbe:
    """Opens connections to upstreams that may have crashed.

    :param pool: the UpstreamPool
    :param client: the HttpClient of the upstreams
    :param sends: the InFlightSends
    """

    def __init__(self, pool, client, sends):
        self._pool = pool
        self._client = client
        self._sends = sends

    async def is_gone(self, name, address):
        """Return whether an upstream that closed a connection has crashed.

        A refused connection means a crash.  Behind a proxy the proxy still
        accepts connections and then closes them.  An upstream that accepts no
        more connections does so, too, but keeps its existing ones open.

        :param name: name of the UpstreamRun
        :param address: its IP and port
        """
        listening = await self._client.probe(address)
        if listening is not Listening.HANGS_UP:
            return listening is Listening.REFUSES
        return not self._sends.sends_at(name) and (
            not self._client.has_idle(address)
        )

    async def find_gone(self, service, known):
        """Return which other upstreams of a service have crashed, too.

        Nobody notices the crash of an upstream that runs nothing.

        :param known: names of the UpstreamRuns that are known to have crashed
        :returns: names of the UpstreamRuns, of a random sample
        """
        others = [
            state.record
            for state in self._pool.of_service(service)
            if state.record.run.name not in known
        ]
        some = random.sample(others, min(SURVEY_LIMIT, len(others)))
        if not some:
            return []
        probes = {
            asyncio.ensure_future(
                self.is_gone(record.run.name, record.address)
            ): record.run.name
            for record in some
        }
        done, pending = await asyncio.wait(probes, timeout=SURVEY_SECONDS)
        for probe in pending:
            probe.cancel()
        return sorted(probes[probe] for probe in done if probe.result())
