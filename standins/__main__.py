"""Runs one stand-in: ``python -m standins KIND JSON_SETTINGS``."""

import signal
import sys

import msgspec
from twisted.internet import defer
from twisted.internet import reactor
from twisted.python import failure
from twisted.web import server

from standins import caller
from standins import engine_server
from standins import fault_proxy
from standins import ledger
from standins import list_server
from standins import log_server
from standins import naive_relay
from standins import platform_config
from standins import platform_server
from standins import target_server
from standins import weight_server

__all__ = ['main']


def main() -> None:
    """Run the stand-in; a server runs until SIGTERM."""
    kind, settings_json = sys.argv[1:3]
    if kind not in _STARTERS_BY_KIND:
        sys.exit(f'unknown kind of stand-in: {kind!r}')
    _STARTERS_BY_KIND[kind](settings_json)


def _start_log(settings_json: str) -> None:
    settings = msgspec.json.decode(
        settings_json, type=log_server.LogServerSettings
    )
    _serve(settings.ip, settings.port, log_server.LogServer(settings))


def _start_list(settings_json: str) -> None:
    settings = msgspec.json.decode(
        settings_json, type=list_server.ListServerSettings
    )
    _serve(settings.ip, settings.port, list_server.ListServer(settings))


def _start_target(settings_json: str) -> None:
    settings = msgspec.json.decode(
        settings_json, type=target_server.TargetServerSettings
    )
    with ledger.Ledger(
        settings.ledger_folder, settings.target_id
    ) as event_ledger:
        standin = target_server.TargetServer(settings, event_ledger)
        _serve(settings.ip, settings.port, standin)


def _start_proxy(settings_json: str) -> None:
    settings = msgspec.json.decode(
        settings_json, type=fault_proxy.FaultProxySettings
    )
    _serve(settings.ip, settings.port, fault_proxy.FaultProxy(settings))


def _start_engine(settings_json: str) -> None:
    settings = msgspec.json.decode(
        settings_json, type=engine_server.EngineServerSettings
    )
    target = settings.target
    with ledger.Ledger(target.ledger_folder, target.target_id) as event_ledger:
        standin = engine_server.EngineServer(settings, event_ledger)
        _serve(target.ip, target.port, standin)


def _start_weights(settings_json: str) -> None:
    settings = msgspec.json.decode(
        settings_json, type=weight_server.WeightServerSettings
    )
    _serve(settings.ip, settings.port, weight_server.WeightServer(settings))


def _start_platform(settings_json: str) -> None:
    settings = msgspec.json.decode(
        settings_json, type=platform_config.PlatformSettings
    )
    _serve(
        settings.ip, settings.port, platform_server.PlatformServer(settings)
    )


def _start_naive_relay(settings_json: str) -> None:
    settings = msgspec.json.decode(
        settings_json, type=naive_relay.NaiveRelaySettings
    )
    _serve(settings.ip, settings.port, naive_relay.NaiveRelay(settings))


def _start_caller(settings_json: str) -> None:
    settings = msgspec.json.decode(settings_json, type=caller.CallerSettings)
    with ledger.Ledger(
        settings.ledger_folder, settings.source
    ) as event_ledger:
        succeeded = _run_caller(caller.Caller(settings, event_ledger))
    if not succeeded:
        sys.exit(1)


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


def _run_caller(request_sender: caller.Caller) -> bool:
    """Send all requests; return whether no error ended the caller."""
    failures: list[failure.Failure] = []

    def start() -> None:
        result = defer.Deferred.fromCoroutine(request_sender.run())
        result.addErrback(failures.append)
        result.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    for problem in failures:
        problem.printTraceback()
    return not failures


def _serve(ip: str, port: int, standin) -> None:
    site = server.Site(standin.app.resource())
    reactor.listenTCP(port, site, interface=ip)
    signal.signal(
        signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop)
    )
    reactor.run()


if __name__ == '__main__':
    main()
