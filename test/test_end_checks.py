"""Checks of ends of answers without a length, at limits of connections."""

import asyncio
from test.test_connection_shares import ADDRESS
from test.test_connection_shares import Router
from test.test_silence import run_on_net
from test.virtual_net import HOST

import pytest

from bench.ports import free_ports
from rowanport.ends import AnswerSource
from rowanport.ends import EndCheck
from rowanport.ends import Instance
from rowanport.ends import Reason
from rowanport.errors import EndUnconfirmed
from rowanport.errors import NoConnectionFree
from rowanport.gateway.upstream import Upstream

LOCAL = "127.0.0.1"
HALF = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf "


class Server:
    """Answers without a length; health checks are answered with one.

    :ivar end: set to end all answers under way
    :ivar checks: number of health checks
    """

    def __init__(self):
        self.end = asyncio.Event()
        self.checks = 0
        self.listener = None
        self.writers = set()

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/healthz" in head:
                    self.checks += 1
                    writer.write(
                        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                    )
                    continue
                writer.write(HALF)
                await self.end.wait()
                writer.write(b"whole")
                return
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def kill(self):
        """End all connections as the kernel does for a killed process."""
        for writer in list(self.writers):
            writer.close()


class Source(AnswerSource):
    """What is known of the Server.

    :param router: the Router
    :param may_be_asked: whether it takes health checks
    :param address: its address
    """

    may_run_again = False

    def __init__(self, router, may_be_asked=True, address=ADDRESS):
        self._router = router
        self._address = address
        self._may_be_asked = may_be_asked

    @property
    def may_be_asked(self):
        return self._may_be_asked

    def leaves_at(self, ended_at):
        return False

    def cut_together(self, since):
        return False

    async def ask_instance(self, path):
        if not self._may_be_asked:
            return Instance.SILENT
        answer = await self._router.client.request(
            self._address, "GET", "/healthz", over=path
        )
        await answer.read()
        return Instance.SAME


def play(scenario, routers=1, most=100):
    """Run a coroutine function of a Server, a Router and the VirtualNet."""

    async def run(_loop, net):
        HOST.set("router")
        server = Server()
        host, port = ADDRESS.split(":")
        server.listener = await net.listen(server.serve, host, int(port), 0, 0)
        await scenario(server, Router(routers, most), net)

    run_on_net(run)


async def begin(router, address=ADDRESS):
    """Send a request; return its HttpAnswer once its first half is here."""
    answer = await router.client.request(address, "GET", "/")
    await answer.next_piece()
    return answer


async def read_end(answer):
    """Read an answer up to its end."""
    while await answer.next_piece() is not None:
        pass


@pytest.mark.parametrize("share, most", ((1, 100), (2, 250), (3, 350)))
def test_an_answer_on_the_last_connection_of_a_share_is_confirmed(share, most):
    # Guards against whole answers that count as broken in a large fleet, as
    # the connection that has ended still takes the place of a new one.
    async def main():
        # A real connection, whose transport stays open behind the end.
        (port,) = free_ports(1)
        address = f"{LOCAL}:{port}"
        server = Server()
        server.listener = await asyncio.start_server(server.serve, LOCAL, port)
        # The Router takes its time from the loop.
        asyncio.get_running_loop().now = 0.0
        router = Router(100, most)
        record = Upstream("r", "plain", address, "hall-a", 6, False)
        router.shares.update([record])
        assert router.shares.limit(address) == share
        answer = await begin(router, address)
        server.end.set()
        await read_end(answer)
        check = EndCheck(router.client)
        reason = await check.confirm(answer, Source(router, address=address))
        assert reason is Reason.SAME_INSTANCE
        answer.close()
        assert router.shares.counts.count(address) == 1
        router.client.close()
        server.listener.close()

    asyncio.run(main())


@pytest.mark.parametrize("at", (0.0, 0.001, 0.003, 0.02, 0.1, 0.4))
@pytest.mark.parametrize("how", ("hang", "accept", "live", "mute"))
def test_a_check_that_is_given_up_leaves_nothing(at, how):
    # Guards against a connection that stays counted in a router's share, or
    # a task that goes on, when the caller leaves during the confirmation.
    async def scenario(server, router, net):
        answer = await begin(router)
        server.end.set()
        await read_end(answer)
        if how in ("hang", "accept"):
            net.sever("router", ADDRESS.split(":")[0], how)
        tasks = asyncio.all_tasks()
        source = Source(router, how != "mute")
        check = asyncio.ensure_future(
            EndCheck(router.client).confirm(answer, source)
        )
        await asyncio.sleep(at)
        check.cancel()
        await asyncio.gather(check, return_exceptions=True)
        answer.close()
        await asyncio.sleep(1.0)
        left = {
            task.get_coro().__name__ for task in asyncio.all_tasks() - tasks
        }
        # The server waits on the connections that are kept.
        assert left <= {"serve"}
        idle = router.client.idle_count(ADDRESS)
        assert router.shares.counts.count(ADDRESS) == idle
        router.client.close()
        await asyncio.sleep(0.1)
        assert router.shares.counts.count(ADDRESS) == 0

    play(scenario, routers=100, most=110)


def test_a_live_upstream_that_is_not_asked_proves_by_an_open_connection():
    # Guards against whole answers of rate-limited upstreams that count as
    # broken, and against health checks to them.
    async def scenario(server, router, _net):
        answer = await begin(router)
        server.end.set()
        await read_end(answer)
        source = Source(router, may_be_asked=False)
        reason = await EndCheck(router.client).confirm(answer, source)
        assert reason is Reason.NEW_CONNECTION
        assert server.checks == 0
        # The next request uses the connection.
        assert router.client.idle_count(ADDRESS) == 1

    play(scenario)


def test_no_connection_free_is_no_sign_of_an_end():
    # Guards against a share that is used up meanwhile and looks like an
    # upstream that nobody reaches, for which the end is held back longer.
    async def scenario(server, router, _net):
        first = await begin(router)
        server.end.set()
        server.end = asyncio.Event()
        second = await begin(router)
        await read_end(first)

        async def open_none(address):
            raise NoConnectionFree("all are in use")

        router.connector.open = open_none
        begun = asyncio.get_running_loop().time()
        check = EndCheck(router.client)
        reason = await check.confirm(first, Source(router))
        assert reason is Reason.EARLIER_CONNECTION
        assert asyncio.get_running_loop().time() - begun < 0.1
        second.close()

    play(scenario)


def test_a_proxy_before_a_dead_upstream_that_is_not_asked_is_no_proof():
    # Guards against half an answer of a rate-limited upstream, which gets no
    # health check, behind a proxy that accepts before it finds nobody.
    async def scenario(server, router, net):
        answer = await begin(router)
        net.sever("router", ADDRESS.split(":")[0], "accept")
        server.kill()
        with pytest.raises(EndUnconfirmed):
            await read_end(answer)
            check = EndCheck(router.client)
            await check.confirm(answer, Source(router, may_be_asked=False))
        assert server.checks == 0

    play(scenario)


def test_a_connection_that_was_just_opened_is_no_proof():
    # Guards against halves of several answers that look whole behind a proxy
    # that is slow to find nobody, as their checks vouch for each other.
    async def scenario(server, router, net):
        answers = [await begin(router), await begin(router)]
        net.sever("router", ADDRESS.split(":")[0], "accept")
        other = await router.client.open_path(ADDRESS)
        server.kill()
        await read_end(answers[0])
        check = EndCheck(router.client)
        with pytest.raises(EndUnconfirmed):
            await check.confirm(answers[0], Source(router, False))
        other.writer.close()

    play(scenario)


def test_a_connection_that_took_another_way_is_no_proof():
    # Guards against half an answer that looks whole as a connection through a
    # frozen relay, or over a link that went silent, has not ended.
    async def scenario(server, router, net):
        HOST.set("relay")
        kept = await router.client.open_path(ADDRESS)
        kept.relay = "relay"
        HOST.set("router")
        answer = await begin(router)
        router.client.keep(kept)
        server.end.set()
        net.silence(lambda own, _other: own == "relay")
        await read_end(answer)
        server.listener.close()
        assert kept.open
        check = EndCheck(router.client)
        with pytest.raises(EndUnconfirmed):
            await check.confirm(answer, Source(router))

    play(scenario)


def test_a_connection_that_took_the_same_way_is_proof():
    # Guards against whole answers through relays that count as broken, where
    # no new connection is left.
    async def scenario(server, router, net):
        answers = [await begin(router), await begin(router)]
        server.end.set()
        server.end = asyncio.Event()
        answers.append(await begin(router))
        for answer in answers:
            answer.path.relay = "relay"
        await read_end(answers[0])

        async def open_none(address):
            raise NoConnectionFree("all are in use")

        router.connector.open = open_none
        check = EndCheck(router.client)
        reason = await check.confirm(answers[0], Source(router))
        assert reason is Reason.EARLIER_CONNECTION

    play(scenario)
