/**
 * Guards the soak's check of planned stops: it must excuse a loss whose engine crashed within `contact_ms`
 * before the request, as the rule does, and no other one.
 */
import test from 'ava';
import { judgePlannedStops } from '../soak/planned-stop-oracle.js';
import type { SoakRecord } from '../soak/oracle.js';
import { SHORT_STREAM } from '../soak/stream-events.js';

const STOP_MS = 1_000_000;
const SENT_MS = STOP_MS + 5_000;
const ENDED_MS = SENT_MS + 300;
const ENGINE = 'engine-1@1004000';
const ROUTER = '127.0.0.1:1';

/** What happened to engines before a stream that was broken off. */
interface EngineHistory {
  readonly exits: readonly { readonly name: string; readonly beforeMs: number }[];
  /** Incarnations that had announced their end. */
  readonly drained?: readonly string[];
}

/** Number of losses found in a stream that its router broke off 5 s after SIGTERM. */
function countLosses({ exits, drained = [] }: EngineHistory): number {
  const call = {
    id: 'call-1',
    kind: 'stream-once',
    router: ROUTER,
    sentMs: SENT_MS,
    bodySentMs: SENT_MS,
    endedMs: ENDED_MS,
    budgetMs: 3_000,
    status: 200,
    failure: 'aborted',
    shape: SHORT_STREAM,
  };
  const run = { kind: 'run', requestId: call.id, engineId: ENGINE, startedMs: SENT_MS + 10 };
  const end = { ...run, kind: 'run-end', isBrokenOff: false, endedMs: ENDED_MS - 50 };
  const router = {
    frontendAddress: ROUTER,
    options: { name: 'router-1' },
    firstStops: [{ atMs: STOP_MS, program: 'peatspan.cjs' }],
    killsAfterGrace: [],
    disturbances: [],
    engineCuts: [],
  };
  const record = {
    calls: [call],
    routers: [router],
    observations: {
      runs: [run],
      runEnds: [end],
      engineExits: exits.map(({ name, beforeMs }) => ({ name, atMs: SENT_MS - beforeMs })),
      drains: new Map(drained.map((id) => [id, SENT_MS - 5_000])),
      engineFaults: [],
      storeFaults: [],
      routeTimeouts: [],
    },
  } as unknown as SoakRecord;
  return judgePlannedStops(record).length;
}

test('a stream that is broken off after a planned stop is a loss', (t) => {
  t.is(countLosses({ exits: [] }), 1);
});

test('a crash of its engine within contact_ms before the request is a disruption', (t) => {
  for (const beforeMs of [0, 1_700, 3_000]) {
    t.is(countLosses({ exits: [{ name: 'engine-1', beforeMs }] }), 0, `${beforeMs} ms`);
  }
});

test('an earlier crash, one of another engine and a planned end excuse no loss', (t) => {
  t.is(countLosses({ exits: [{ name: 'engine-1', beforeMs: 3_001 }] }), 1);
  t.is(countLosses({ exits: [{ name: 'engine-10', beforeMs: 1_700 }] }), 1);
  const exits = [{ name: 'engine-1', beforeMs: 1_700 }];
  t.is(countLosses({ exits, drained: ['engine-1@990000'] }), 1);
});
