"""Runs one stand-in: ``python -m standins KIND JSON_SETTINGS``."""

import signal
import sys

import msgspec
from twisted.internet import defer
from twisted.internet import reactor
from twisted.web import server

from standins import caller
from standins import engine_server
from standins import fault_proxy
from standins import ledger
from standins import list_server
from standins import log_server
from standins import naive_relay
from standins import platform_site
from standins import target_server
from standins import weight_server

__all__ = ['main']


def main() -> None:
    """Serve until SIGTERM."""
    kind, text = sys.argv[1:3]
    if kind not in _STARTERS_BY_KIND:
        sys.exit(f'unknown stand-in {kind!r}')
    _STARTERS_BY_KIND[kind](text)


def _start_log(text: str) -> None:
    settings = msgspec.json.decode(text, type=log_server.LogServerSettings)
    _serve(settings.ip, settings.port, log_server.LogServer(settings))


def _start_list(text: str) -> None:
    settings = msgspec.json.decode(text, type=list_server.ListServerSettings)
    _serve(settings.ip, settings.port, list_server.ListServer(settings))


def _start_target(text: str) -> None:
    settings = msgspec.json.decode(
        text, type=target_server.TargetServerSettings
    )
    with ledger.Ledger(settings.ledger_folder, settings.target_id) as book:
        standin = target_server.TargetServer(settings, book)
        _serve(settings.ip, settings.port, standin)


def _start_proxy(text: str) -> None:
    settings = msgspec.json.decode(text, type=fault_proxy.FaultProxySettings)
    _serve(settings.ip, settings.port, fault_proxy.FaultProxy(settings))


def _start_engine(text: str) -> None:
    settings = msgspec.json.decode(
        text, type=engine_server.EngineServerSettings
    )
    target = settings.target
    with ledger.Ledger(target.ledger_folder, target.target_id) as book:
        standin = engine_server.EngineServer(settings, book)
        _serve(target.ip, target.port, standin)


def _start_weights(text: str) -> None:
    settings = msgspec.json.decode(
        text, type=weight_server.WeightServerSettings
    )
    _serve(settings.ip, settings.port, weight_server.WeightServer(settings))


def _start_platform(text: str) -> None:
    settings = msgspec.json.decode(text, type=platform_site.PlatformSettings)
    _serve(settings.ip, settings.port, platform_site.PlatformSite(settings))


def _start_naive_relay(text: str) -> None:
    settings = msgspec.json.decode(text, type=naive_relay.NaiveRelaySettings)
    _serve(settings.ip, settings.port, naive_relay.NaiveRelay(settings))


def _start_caller(text: str) -> None:
    settings = msgspec.json.decode(text, type=caller.CallerSettings)
    with ledger.Ledger(settings.ledger_folder, settings.source) as book:
        _run(caller.Caller(settings, book))


_STARTERS_BY_KIND = {
    'log': _start_log,
    'list': _start_list,
    'target': _start_target,
    'engine': _start_engine,
    'weights': _start_weights,
    'caller': _start_caller,
    'proxy': _start_proxy,
    'naive_relay': _start_naive_relay,
    'platform': _start_platform,
}


def _run(sender: caller.Caller) -> None:
    def start() -> None:
        running = defer.Deferred.fromCoroutine(sender.run())
        running.addErrback(lambda failure: failure.printTraceback())
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()


def _serve(ip: str, port: int, standin) -> None:
    site = server.Site(standin.app.resource())
    reactor.listenTCP(port, site, interface=ip)
    signal.signal(
        signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop)
    )
    reactor.run()


if __name__ == '__main__':
    main()
