"""A route whose stage needs a stage with a higher number is never served."""

import asyncio
import itertools
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin import platform  # noqa: E402

HANDLES = itertools.count(1)
# ``configApplyMs`` is 2,000; the hosts are in touch 3 s after their start.
SETTLE_S = 6.0
RUN_S = 20.0
HANDLES_BY_REQUEST = {}


class StageWorker(platform.Worker):
    """A sound worker of a stage service."""

    async def answer(self, first, headers, body, reader, writer):
        path = first.split(' ')[1]
        if path == '/stage-free':
            await self.send(writer, headers, 200, b'{}', seal=False)
            return True
        items = json.loads(body)['items']
        for item in items:
            self.record.line(f'{self.id} makes {item}')
        await asyncio.sleep(0.15)
        made = []
        for item in items:
            handle = f'{platform.IP}:{self.port}/{next(HANDLES):x}'
            HANDLES_BY_REQUEST.setdefault(item['id'], []).append(handle)
            made.append({'handle': handle})
        data = json.dumps({'items': made}).encode()
        await self.send(writer, headers, 200, data, seal=False)
        return True


class ModelWorker(platform.Worker):
    """A sound model worker, which needs the inputs of its request."""

    async def answer(self, first, headers, body, reader, writer):
        request_id = headers['walnutport-request-attempt-id']
        inputs = headers.get('walnutport-inputs')
        if inputs is None:
            await self.send(writer, headers, 400, b'', not_run=True)
            return True
        known = HANDLES_BY_REQUEST.get(request_id, [])
        if not set(inputs.split(',')) <= set(known):
            await self.send(writer, headers, 409, b'', not_run=True)
            return True
        self.run(request_id)
        await self.send_stream(writer, headers)
        return True


async def requester(hosts, path, number, until, record, served):
    count = 0
    while time.monotonic() < until:
        count += 1
        host = hosts[(number + count) % len(hosts)]
        request_id = f'{ord(path[1]):04x}{number:04x}{count:08x}'
        answer = await platform.exchange(
            host.front,
            platform.request_bytes(
                path,
                request_id,
                6000,
                request_id.encode() * 40,
                Walnutport_Pieces='2,3',
                Walnutport_Piece_Key=f'key{request_id}',
            ),
            6.0,
        )
        is_served = answer.status == 200 and answer.body.count(b'id: ') == 10
        record.line(
            f'requester asked {host.name} for {path} with {request_id}: '
            f'status {answer.status} after {answer.took_s:.2f} s, '
            f'served: {is_served}'
        )
        served.append((path, is_served))
        await asyncio.sleep(0.3)


async def main(record, folder, hosts, trouble):
    ports = platform.free_ports(7)
    store = platform.Store(ports[0])
    await store.start()
    workers = [
        ModelWorker(store, record, 'llm', 'llm-1', ports[1]),
        ModelWorker(store, record, 'llm', 'llm-2', ports[2]),
        StageWorker(store, record, 'encode', 'encode-1', ports[3], 1),
        StageWorker(store, record, 'encode', 'encode-2', ports[4], 1),
        StageWorker(store, record, 'rank', 'rank-1', ports[5], 1),
        StageWorker(store, record, 'rank', 'rank-2', ports[6], 1),
    ]
    for worker in workers:
        await worker.start()

    def staged_route(name, stages):
        return platform.route(
            name,
            'streaming',
            'llm',
            6000,
            2000,
            resumable=True,
            sticky=True,
            gapAimMs=400,
            stages=stages,
        )

    encode = {'service': 'encode', 'bytes': 8000}
    rank = {'service': 'rank', 'bytes': 6000}
    first = staged_route(
        'first', [{**encode, 'after': []}, {**rank, 'after': [0]}]
    )
    # The same work; with trouble the stages stand in the other order.
    added = staged_route(
        'added',
        [{**rank, 'after': [1]}, {**encode, 'after': []}]
        if trouble
        else [{**encode, 'after': []}, {**rank, 'after': [0]}],
    )
    pieces = {
        'slots': 1,
        'queue': 2,
        'batch': 25,
        'callMs': 150.0,
        'itemMs': 5.0,
        'headroomMb': 20.0,
        'handleS': 4.0,
        'linkMbps': 10000,
    }
    services = [
        {
            'name': 'llm',
            'maxConns': 360,
            'engine': {'slots': 64, 'kvTokens': 370000},
        },
        {'name': 'encode', 'maxConns': 360, 'pieces': pieces},
        {'name': 'rank', 'maxConns': 360, 'pieces': pieces},
    ]
    store.put(
        'keyed.op', 'config', platform.desired_state(1, [first], services)
    )
    for number in (1, 2):
        host = platform.Host(number, folder, store.port, folder)
        hosts.append(host)
        host.start()
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(SETTLE_S)
    record.line(f'the operator adds a route: {json.dumps(added)}')
    store.put(
        'keyed.op',
        'config',
        platform.desired_state(4, [first, added], services),
    )
    await asyncio.sleep(SETTLE_S)
    served = []
    until = time.monotonic() + RUN_S
    await asyncio.gather(
        *(
            requester(hosts, path, number, until, record, served)
            for path in ('/first/a', '/added/a')
            for number in range(4)
        )
    )
    share_by_path = {}
    for path in ('/first/a', '/added/a'):
        found = [is_served for asked, is_served in served if asked == path]
        share_by_path[path] = sum(found) / len(found)
        text = f'{path}: {sum(found)} of {len(found)} served'
        record.line(text)
        print(text)
        assert len(found) >= 20
    for host in hosts:
        log = pathlib.Path(folder) / f'host-{host.number}.log'
        lines = log.read_text(errors='replace').splitlines()
        lost = sum('"event":"peer_lost"' in line for line in lines)
        record.line(f'{host.name} has lost its peer {lost} times')
        for line in [found for found in lines if 'KeyError' in found][:2]:
            text = line.replace(str(platform.ROOT), '')
            record.line(f'{host.name}: {text[:600]}')
    return share_by_path['/added/a'] < share_by_path['/first/a'] / 4


if __name__ == '__main__':
    sys.exit(platform.run_case(main, HERE))
