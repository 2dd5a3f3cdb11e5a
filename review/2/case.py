"""A stream whose event never ends, in small chunks, holds up a whole host."""

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
RUN_S = 60.0
PAY_TIMEOUT_S = 2.0
LATE_S = 0.5
# Fewer requests that are unanswered at the timeout say nothing.
MIN_UNANSWERED = 8


class FaultyWorker(platform.Worker):
    """Sends a stream that goes on inside an event until the caller closes."""

    trouble = False

    async def answer(self, first, headers, body, reader, writer):
        if not self.trouble or self.arrivals % ONE_IN:
            return await super().answer(first, headers, body, reader, writer)
        request_id = headers['walnutport-request-attempt-id']
        self.run(request_id)
        self.record.line(f'{self.id} answers {request_id} without end')
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            *self.common(headers),
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        writer.write(b'7\r\ndata: x\r\n')
        sent = 0
        try:
            while True:
                writer.write(b'2\r\nxx\r\n' * 4096)
                sent += 7 * 4096
                await writer.drain()
        finally:
            self.record.line(
                f'{self.id} has sent {sent} bytes for {request_id}'
            )


async def requester(host, record, number, until, pays):
    count = 0
    while time.monotonic() < until:
        count += 1
        path, deadline_ms = ('/note/a', 15000) if number else ('/pay/a', 4000)
        request_id = f'{host.number:02d}{number:02d}{count:08d}'
        record.line(f'requester sends {request_id} {path} to {host.name}')
        answer = await platform.exchange(
            host.front,
            platform.request_bytes(path, request_id, deadline_ms, b'b' * 600),
            deadline_ms / 1000,
        )
        record.line(
            f'requester gets {request_id}: {answer.status} '
            f'after {answer.took_s:.3f} s'
        )
        if path == '/pay/a':
            pays.append(answer.took_s)
        await asyncio.sleep(0.1)


async def pays_in_turn(host, record, until, pays):
    """Send a payment each 0.25 s, whether or not the last was answered."""
    tasks = []
    number = 0
    while time.monotonic() < until:
        number += 1
        tasks.append(
            asyncio.create_task(
                pay(host, record, f'{host.number:02d}99{number:08d}', pays)
            )
        )
        await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)


async def pay(host, record, request_id, pays):
    record.line(f'requester sends {request_id} /pay/a to {host.name}')
    answer = await platform.exchange(
        host.front, platform.request_bytes('/pay/a', request_id, 4000, b'b'), 4
    )
    record.line(
        f'requester gets {request_id}: {answer.status} '
        f'after {answer.took_s:.3f} s'
    )
    pays.append(answer.took_s)


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
    # The hosts have to be in touch: nothing has happened for 3 s.
    await asyncio.sleep(3.0)
    pays = []
    until = time.monotonic() + RUN_S
    await asyncio.gather(
        *(
            requester(host, record, number, until, pays)
            for host in hosts
            for number in range(1, 5)
        ),
        *(pays_in_turn(host, record, until, pays) for host in hosts),
    )
    unanswered = [took_s for took_s in pays if took_s > PAY_TIMEOUT_S]
    late = [took_s for took_s in unanswered if took_s > PAY_TIMEOUT_S + LATE_S]
    text = (
        f'{len(pays)} payments, {len(unanswered)} unanswered after '
        f'{PAY_TIMEOUT_S} s, {len(late)} still {LATE_S} s later'
    )
    record.line(text)
    print(text)
    return len(unanswered) >= MIN_UNANSWERED and 2 * len(late) > len(
        unanswered
    )


if __name__ == '__main__':
    # TROUBLE=0 does the same without the disruption.
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(platform.run_case(main, HERE, has_trouble))
