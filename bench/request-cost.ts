/**
 * Processor time of a router for an ordinary request, for each of the bundles given as arguments:
 * `node dist/bench/request-cost.js BUNDLE...`. The bundles take turns, so that all run beside the same
 * load of the machine.
 */
import { readFileSync } from 'node:fs';
import http from 'node:http';
import { HOST, WireHeader } from '../soak/wire.js';
import {
  type LimitedRouter,
  ORDINARY_KEY,
  UPLOAD_PATH,
  startLimitedRouter,
} from '../test/helpers/limited-router.js';

const ROUNDS = 20;
const CALLERS = 8;
/** Ticks of the kernel's counters of processor time a second. */
const TICKS_PER_SECOND = 100;
const MICROSECONDS_PER_TICK = 1_000_000 / TICKS_PER_SECOND;

/** A kind of ordinary request. */
interface Kind {
  readonly name: string;
  readonly bodyBytes: number;
  readonly isChunked: boolean;
  readonly count: number;
}

const KINDS: readonly Kind[] = [
  { name: 'no body', bodyBytes: 0, isChunked: false, count: 1_500 },
  { name: '800 B with a length', bodyBytes: 800, isChunked: false, count: 1_500 },
  { name: '800 B in a chunk', bodyBytes: 800, isChunked: true, count: 1_500 },
  { name: '8 kB with a length', bodyBytes: 8_000, isChunked: false, count: 1_500 },
  { name: '110 kB with a length', bodyBytes: 110_000, isChunked: false, count: 1_000 },
  { name: '110 kB in chunks', bodyBytes: 110_000, isChunked: true, count: 1_000 },
];

const ends: (() => void)[] = [];

function ticksOf({ usage }: LimitedRouter): number {
  const [, rest = ''] = readFileSync(`/proc/${usage.child.pid}/stat`, 'utf8').split(') ');
  const fields = rest.split(' ');
  return Number(fields[11]) + Number(fields[12]);
}

function send(router: LimitedRouter, agent: http.Agent, kind: Kind, id: string): Promise<void> {
  const [host, port] = router.listeners.ingress.split(':');
  return new Promise((resolve, reject) => {
    const headers: Record<string, string> = {
      Host: HOST,
      [WireHeader.attemptId]: id,
      [WireHeader.budgetMs]: '15000',
      [WireHeader.apiKey]: ORDINARY_KEY,
    };
    if (!kind.isChunked) headers['Content-Length'] = String(kind.bodyBytes);
    const request = http.request(
      { host, port, method: 'POST', path: UPLOAD_PATH, agent, headers },
      (response) => {
        response.resume();
        response.once('end', () => {
          if (response.statusCode === 200) resolve();
          else reject(new Error(`status ${response.statusCode}`));
        });
      },
    );
    request.once('error', reject);
    if (kind.isChunked) request.flushHeaders();
    request.end(Buffer.alloc(kind.bodyBytes, 'x'));
  });
}

async function run(router: LimitedRouter, agent: http.Agent, kind: Kind): Promise<number> {
  const before = ticksOf(router);
  let sent = 0;
  const call = async (): Promise<void> => {
    while (sent < kind.count) {
      sent += 1;
      await send(router, agent, kind, `request-${sent}`);
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, call));
  return ((ticksOf(router) - before) * MICROSECONDS_PER_TICK) / kind.count;
}

/** The least of all rounds: other load of the machine only adds to it. */
function least(values: readonly number[]): number {
  return Math.min(...values);
}

const programs = process.argv.slice(2);
const routers = await Promise.all(
  programs.map((program, index) =>
    startLimitedRouter({ teardown: (end) => ends.push(end) }, `127.89.0.${index + 1}`, { program }),
  ),
);
const agent = new http.Agent({ keepAlive: true, maxSockets: CALLERS });
for (const kind of KINDS) {
  const results: number[][] = programs.map(() => []);
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const [index, router] of routers.entries()) {
      results[index]?.push(await run(router, agent, kind));
    }
  }
  const figures = results.map((each) => `${least(each).toFixed(1)} us`);
  process.stdout.write(`${kind.name}: ${figures.join(', ')}\n`);
}
for (const end of ends) end();
process.exit(0);
