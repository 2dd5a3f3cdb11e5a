"""A failure without a length, cut off by a crash, looks complete."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin import platform  # noqa: E402

BODY = b'f' * 400 + b'F' * 400
ROUNDS = 6
BACK_S = 3.0


async def serve_as_process(port, worker_id, crash_after):
    """Answer each request with a failure without a length.

    The request number ``crash_after`` finds a worker that crashes when it has
    written half of its answer.
    """
    count = 0

    async def serve(reader, writer):
        nonlocal count
        message = await platform.read_message(reader)
        if message is None:
            writer.close()
            return
        first, headers, body = message
        request_id = headers.get('walnutport-request-attempt-id', '')
        if headers.get('walnutport-expect-instance') != worker_id:
            writer.write(
                b'HTTP/1.1 421 X\r\nContent-Length: 0\r\n'
                b'Walnutport-Not-Executed: 1\r\n\r\n'
            )
            await writer.drain()
            writer.close()
            return
        count += 1
        print(f'{worker_id} runs {request_id}', flush=True)
        writer.write(
            (
                'HTTP/1.1 500 X\r\n'
                f'Walnutport-Request-Attempt-Id: {request_id}\r\n'
                f'Walnutport-Response-Seal: {worker_id}.{request_id}\r\n'
                'Connection: close\r\n\r\n'
            ).encode()
            + BODY[:400]
        )
        await writer.drain()
        await asyncio.sleep(0.05)
        if count == crash_after:
            print(f'{worker_id} crashes', flush=True)
            os.kill(os.getpid(), signal.SIGKILL)
        writer.write(BODY[400:])
        await writer.drain()
        print(f'{worker_id} has answered {request_id} 500 whole', flush=True)
        writer.close()

    server = await asyncio.start_server(serve, platform.IP, port)
    async with server:
        await server.serve_forever()


def start_worker(port, worker_id, crash_after):
    return subprocess.Popen(
        [sys.executable, __file__, str(port), worker_id, str(crash_after)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


async def main(record, folder, hosts, trouble):
    ports = platform.free_ports(2)
    store = platform.Store(ports[0])
    await store.start()
    entry = platform.Worker(store, record, 'pay', 'pay-1', ports[1], 6)
    beat = asyncio.create_task(entry._beat())
    crash_after = 2 if trouble else 0
    process = start_worker(ports[1], entry.id, crash_after)
    store.put(
        'keyed.op',
        'config',
        platform.desired_state(
            routes=[
                platform.route('pay', 'non_idempotent', 'pay', 2000, 400, 1)
            ],
            services=[{'name': 'pay', 'maxConns': 100}],
        ),
    )
    host = platform.Host(1, folder, store.port, folder)
    hosts.append(host)
    host.start()
    wrong = 0
    try:
        await host.wait_ready()
        await asyncio.sleep(3.0)
        for number in range(1, ROUNDS + 1):
            if process.poll() is not None:
                # Down, it says nothing; it starts again under its id.
                beat.cancel()
                await asyncio.sleep(BACK_S)
                record.line(process.stdout.read().strip())
                process = start_worker(ports[1], entry.id, crash_after)
                await asyncio.sleep(0.5)
                entry.born = int(time.time() * 1000)
                entry.sequence = 0
                beat = asyncio.create_task(entry._beat())
                await asyncio.sleep(1.5)
            request_id = f'{number:016x}'
            record.line(f'requester sends {request_id}')
            answer = await platform.exchange(
                host.front,
                platform.request_bytes('/pay/a', request_id, 4000, b'body'),
                4.0,
            )
            is_whole = answer.body == BODY
            seal = answer.headers.get('walnutport-response-seal')
            record.line(
                f'requester gets {request_id}: {answer.status}, '
                f'seal {seal}, complete, {len(answer.body)} of '
                f'{len(BODY)} bytes'
            )
            if answer.status == 500 and seal and not is_whole:
                wrong += 1
            await asyncio.sleep(0.3)
    finally:
        if process.poll() is None:
            process.kill()
        record.line(process.stdout.read().strip())
        process.wait()
    record.line(f'{wrong} answers that end early and look complete')
    print(f'{wrong} answers that end early and look complete')
    return wrong > 0


if __name__ == '__main__':
    if len(sys.argv) > 1:
        asyncio.run(
            serve_as_process(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]))
        )
    else:
        sys.exit(platform.run_case(main, HERE))
