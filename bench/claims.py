"""Measure the time until a claim is granted and the memory of a claim.

Run with ``python -m bench.claims [RATE_PER_S [COUNT]]``. The log stand-in runs
in its own process; the claim service of the host runs in this process.
"""

import gc
import itertools
import pathlib
import sys
import tempfile
import time
import tracemalloc

import msgspec
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from standins import log_server
from standins import processes
from walnutport.adapters import http_client
from walnutport.adapters import log_service
from walnutport.claims import actions
from walnutport.claims import claimant
from walnutport.claims import fold
from walnutport.claims import records
from walnutport import clock as system_clock
from walnutport.config import settings as config
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.service.records import claims
from walnutport.service.records import log_reader
from walnutport.service.records import log_writer
from walnutport import world

__all__ = ['main']

_MEMORY_CLAIM_COUNT = 50_000


def main() -> None:
    """Measure memory and latency and print the results."""
    rate_per_s = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 400
    print(f'bytes per claim in the fold: {_fold_bytes():.0f}')
    print(f'additional bytes per claim of this host: {_claimant_bytes():.0f}')
    port = processes.free_port()
    settings = msgspec.json.encode(log_server.LogServerSettings(port))
    with tempfile.TemporaryDirectory() as folder:
        process = processes.ManagedProcess(
            ['standins', 'log', settings.decode()],
            pathlib.Path(folder) / 'log',
        )
        with process:
            processes.wait_http(f'http://127.0.0.1:{port}/stats')
            _measure_latency(port, rate_per_s, count)


def _claim(number: int) -> records.Claim:
    return records.Claim(
        f'{number:016x}',
        number.to_bytes(16, 'big'),
        (number * 7919).to_bytes(16, 'big'),
        number // 100,
    )


def _batch(number: int) -> records.Batch:
    """Return a decoded batch that shares no objects with other batches."""
    owner = records.Owner('host-1', 1)
    batch = records.Batch(owner, (_claim(number),))
    return records.decode_batch(records.encode_batch(batch))


def _fold_bytes() -> float:
    state = fold.ClaimFold(600.0, 30.0)
    tracemalloc.start()
    for number in range(_MEMORY_CLAIM_COUNT):
        list(state.apply(_batch(number), 0.0))
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / _MEMORY_CLAIM_COUNT


def _claimant_bytes() -> float:
    state = fold.ClaimFold(600.0, 30.0)
    ids = (f'{number:016x}' for number in itertools.count())
    owner = records.Owner('host-1', 1)
    host_claimant = claimant.Claimant(owner, state, 1.5, lambda: next(ids))
    host_claimant.synced = host_claimant.log_available = True
    tracemalloc.start()
    for number in range(_MEMORY_CLAIM_COUNT):
        claim = _claim(number)
        host_claimant.request_claim(
            actions.ClaimRequest(
                number, claim.identity, claim.body_digest, claim.issued_s, 9.0
            ),
            0.0,
        )
        host_claimant.apply(_batch(number), 0.0, 0.0)
        host_claimant.finish_run(claim.claim_id, True, 0.0)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / _MEMORY_CLAIM_COUNT - _fold_bytes()


def _measure_latency(port: int, rate_per_s: float, count: int) -> None:
    clock = system_clock.SystemClock()
    platform = config.PlatformSettings()
    service = log_service.HttpLogService(
        http_client.TimeoutClient(
            http_client.HttpClient(reactor),
            world.Address('127.0.0.1', port),
            reactor,
            platform.timeout_s,
        )
    )
    writer = log_writer.LogWriter(
        service, clock, reactor, platform.max_appends_per_s
    )
    claim_service = claims.ClaimService(
        records.Owner('host-1', 1),
        platform,
        1_000_000,
        writer,
        clock,
        reactor,
        lambda: reader.available,
    )
    reader = log_reader.LogReader(
        service, [claim_service], clock, reactor, platform.poll_wait_s
    )
    latencies_ms: list[float] = []
    refused: list[str] = []

    async def measure_claim(number: int) -> None:
        identity = interfaces.ClaimIdentity(
            'north', 'payments', f'{int(time.time())}-{number}'
        )
        started = clock.monotonic()
        result = await claim_service.claim(identity, b'x' * 16, started + 8.0)
        if result.is_error():
            refused.append(result.error.answer.reason.value)
            return
        latencies_ms.append((clock.monotonic() - started) * 1000)
        claim_service.finish_run(
            result.ok.claim_id,
            answers.Answer(answers.Outcome.COMPLETE, answers.Reason.OK),
        )

    async def run() -> None:
        await task.deferLater(reactor, 0.5)
        pending = []
        for number in range(count):
            pending.append(defer.Deferred.fromCoroutine(measure_claim(number)))
            await task.deferLater(reactor, 1 / rate_per_s)
        await defer.gatherResults(pending)

    def start_measurement() -> None:
        reader.__enter__()
        running = defer.Deferred.fromCoroutine(run())
        running.addErrback(lambda failure: failure.printTraceback())
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start_measurement)
    started = time.monotonic()
    reactor.run()
    ordered = sorted(latencies_ms)
    print(
        f'{len(ordered)} claims at {rate_per_s:g}/s: '
        f'p50 {ordered[len(ordered) // 2]:.1f} ms, '
        f'p99 {ordered[int(len(ordered) * 0.99)]:.1f} ms, '
        f'max {ordered[-1]:.1f} ms; refused {len(refused)}; '
        f'{writer.appends} appends in {time.monotonic() - started:.1f} s'
    )


if __name__ == '__main__':
    main()
