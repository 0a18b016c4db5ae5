/**
 * Guards against requests that a stopping router takes late, passes on and cuts without an answer at its
 * end, among them those that may not be repeated.
 */
import test from 'ava';
import { waitUntil } from '../helpers/socket-router.js';
import { Caller, type Respond, StoppableRouter } from '../helpers/stoppable-router.js';

const GRACE_MS = 5_000;
const INTERVAL_MS = 40;
/** Times that engines take, which a router can't know; by turns. */
const WORK_MS = [40, 300, 1_200, 3_500];
const FAILURE_MS = 150;
const PATHS = {
  unsafe: '/plain/plain-unsafe/x',
  safe: '/plain/plain-safe/x',
  stream: '/stream/stream-once/x',
} as const;
const ANSWERED = /^HTTP\/1\.1 \d{3} [^]*\r\n\r\n/;

/** Number of the request, from its identifier. */
function numberOf(id: string | string[] | undefined): number {
  return Number(String(id).split('-').at(-1));
}

const respondInTurn: Respond = (request, response) => {
  const number = numberOf(request.headers['x-peatspan-attempt-id']);
  const timer = setTimeout(() => response.end('done'), WORK_MS[number % WORK_MS.length]);
  response.on('close', () => clearTimeout(timer));
};

const breakOff: Respond = (_request, response) => {
  setTimeout(() => response.socket?.resetAndDestroy(), FAILURE_MS);
};

interface Case {
  readonly title: string;
  readonly path: string;
  readonly engines: readonly Respond[];
  /** What a router takes for the time of a response before it has learned one. */
  readonly objectiveMs: number;
}

const CASES: readonly Case[] = [
  {
    title: 'may not be repeated, and whose time is guessed far too short',
    path: PATHS.unsafe,
    engines: [respondInTurn],
    objectiveMs: 1,
  },
  {
    title: 'may not be repeated, and whose time is guessed long',
    path: PATHS.unsafe,
    engines: [respondInTurn],
    objectiveMs: 2_000,
  },
  {
    title: 'are streams of one response, and whose time is guessed far too short',
    path: PATHS.stream,
    engines: [respondInTurn],
    objectiveMs: 1,
  },
  {
    title: 'are sent again to a second engine',
    path: PATHS.safe,
    engines: [breakOff, respondInTurn],
    objectiveMs: 1,
  },
];

for (const { title, path, engines, objectiveMs } of CASES) {
  test(`no request is passed on and ends without an answer in a stop, of those that ${title}`, async (t) => {
    const stopping = await StoppableRouter.start(t, engines, objectiveMs);
    const count = Math.ceil(GRACE_MS / INTERVAL_MS);
    // Late requests come on connections that were opened before the stop.
    const callers = Array.from({ length: count }, () => new Caller(t, stopping.router));
    await waitUntil(() => callers.every(({ socket }) => !socket.connecting));
    stopping.stop();
    for (const [index, caller] of callers.entries()) {
      await stopping.until(index * INTERVAL_MS);
      if (!caller.isClosed) caller.send(`request-${index}`, false, path);
    }
    await waitUntil(() => stopping.hasExited);
    stopping.router.ingress.close();
    await waitUntil(() => callers.every(({ isClosed }) => isClosed));
    const passedOn = new Set(stopping.sends.map(numberOf));
    const unanswered = [...passedOn].filter(
      (number) => !ANSWERED.test(callers[number]?.received ?? ''),
    );
    const refusedThoughSent = [...passedOn].filter((number) =>
      callers[number]?.received.startsWith('HTTP/1.1 503'),
    );
    const answered = callers.filter(({ received }) => ANSWERED.test(received));
    t.log(`${passedOn.size} of ${count} passed on, ${answered.length} answered`);
    t.true(passedOn.size > 0);
    t.deepEqual(unanswered, []);
    t.deepEqual(refusedThoughSent, []);
  });
}
