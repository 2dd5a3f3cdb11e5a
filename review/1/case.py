"""A worker's answer without end, in small chunks, fills a host's memory."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin import platform  # noqa: E402

# One in so many requests at the faulty worker gets the bytes without end.
ONE_IN = 40
RUN_S = 80.0
CHUNK = b'2\r\nxx\r\n'


class FaultyWorker(platform.Worker):
    """Sends bytes that are no answer until the caller closes."""

    trouble = False

    async def answer(self, first, headers, body, reader, writer):
        if not self.trouble or self.arrivals % ONE_IN:
            return await super().answer(first, headers, body, reader, writer)
        request_id = headers['walnutport-request-attempt-id']
        self.run(request_id)
        self.record.line(f'{self.id} answers {request_id} without end')
        lines = [
            'HTTP/1.1 500 X',
            'Transfer-Encoding: chunked',
            *self.common(headers),
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        sent = 0
        try:
            while True:
                writer.write(CHUNK * 4096)
                sent += 4096 * len(CHUNK)
                await writer.drain()
        finally:
            self.record.line(
                f'{self.id} has sent {sent} bytes for {request_id}'
            )


async def watch(host, record, ends):
    """Do what the platform does: kill above the memory limit, restart."""
    peak = 0.0
    while True:
        await asyncio.sleep(0.05)
        memory = host.memory_mb()
        if memory > peak + 25:
            peak = memory
            record.line(f'{host.name} has {memory:.0f} MB')
        if memory > platform.MEMORY_MB:
            record.line(f'{host.name} exceeds memoryMb with {memory:.0f} MB')
            host.signal(platform.KILL)
        if host.process.poll() is not None:
            record.line(f'{host.name} has ended: {host.process.returncode}')
            ends.append(host.name)
            await asyncio.sleep(0.5)
            host.restart()
            peak = 0.0


def is_broken(hosts, ends):
    """Return whether two hosts have ended by themselves three times."""
    return sum(ends.count(host.name) >= 3 for host in hosts) >= 2


async def requester(host, record, number, is_over, answers):
    count = 0
    while not is_over():
        count += 1
        path, deadline_ms = ('/note/a', 15000) if number else ('/pay/a', 4000)
        request_id = f'{host.number:02d}{number:02d}{count:08d}'
        record.line(f'requester sends {request_id} {path} to {host.name}')
        answer = await platform.exchange(
            host.front,
            platform.request_bytes(path, request_id, deadline_ms, b'b' * 600),
            deadline_ms / 1000,
        )
        record.line(f'requester gets {request_id}: {answer.status}')
        answers.append((path, answer.status))
        await asyncio.sleep(0.1)


async def main(record, folder, hosts, trouble):
    ports = platform.free_ports(8)
    store = platform.Store(ports[0])
    await store.start()
    FaultyWorker.trouble = trouble
    workers = [
        FaultyWorker(store, record, 'llm', 'llm-1', ports[1]),
        FaultyWorker(store, record, 'llm', 'llm-2', ports[2]),
        platform.Worker(store, record, 'llm', 'llm-3', ports[3]),
        platform.Worker(store, record, 'llm', 'llm-4', ports[4]),
        platform.Worker(store, record, 'pay', 'pay-1', ports[5], 6),
        platform.Worker(store, record, 'pay', 'pay-2', ports[6], 6),
    ]
    for worker in workers:
        await worker.start()
    store.put(
        'keyed.op',
        'config',
        platform.desired_state(
            routes=[
                platform.route(
                    'note',
                    'streaming',
                    'llm',
                    15000,
                    1500,
                    resumable=True,
                    sticky=True,
                    gapAimMs=400,
                ),
                platform.route('pay', 'non_idempotent', 'pay', 2000, 400, 1),
            ],
            services=[
                {
                    'name': 'llm',
                    'maxConns': 360,
                    'engine': {'slots': 64, 'kvTokens': 370000},
                },
                {'name': 'pay', 'maxConns': 100},
            ],
        ),
    )
    for number in (1, 2):
        host = platform.Host(number, folder, store.port, folder)
        hosts.append(host)
        host.start()
    for host in hosts:
        await host.wait_ready()
    ends, answers = [], []
    until = time.monotonic() + RUN_S
    watches = [
        asyncio.create_task(watch(host, record, ends)) for host in hosts
    ]
    await asyncio.gather(
        *(
            requester(
                host,
                record,
                number,
                lambda: time.monotonic() >= until or is_broken(hosts, ends),
                answers,
            )
            for host in hosts
            for number in range(9)
        )
    )
    for task in watches:
        task.cancel()
    record.line(f'ends of hosts by themselves: {ends}')
    for path in ('/note/a', '/pay/a'):
        statuses = [status for found, status in answers if found == path]
        counts = {status: statuses.count(status) for status in set(statuses)}
        record.line(f'answers on {path}: {counts}')
    print('ends by host:', [ends.count(host.name) for host in hosts])
    return is_broken(hosts, ends)


if __name__ == '__main__':
    # TROUBLE=0 does the same without the disruption.
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(platform.run_case(main, HERE, has_trouble))
