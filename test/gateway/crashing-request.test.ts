/**
 * Symptom: 13 and 14 of 18 engines crashed one after the other within 15 s; while that went on, one in four
 * of the streams of bystanders broke off.
 *
 * Sequence: a caller's request crashes the engine that runs it 60 to 100 ms after it began, and the engine
 * comes back 3 s later as another incarnation. The caller sends the same path and body again and again,
 * each time under another identifier and to another router. Each router sees one send that breaks
 * (`request_finished outcome=aborted-aborted sends=1`), marks that incarnation, and sends the next one to
 * a sound engine.
 *
 * Cause: nothing of a request outlived its attempt. Excluded engines, sends and crashes were kept by the
 * attempt's identifier and by the engine's incarnation, and both are new each time.
 *
 * Settled by: each send in the record is the first of its attempt, so it was no retry of a router; and the
 * fingerprints of one day, 3,695 for 3,787 requests, show that caller, path and body tell requests apart.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-world/gateway-oracle.js';
import { GatewayWorld } from '../../src/lab/gateway-world/gateway-world.js';
import { CRASHING_BODY, type RequestKind } from '../../src/lab/gateway-world/world-fixtures.js';

const SEED = 32;
const TIMES = 24;
const GAP_MS = 700;

/** The same request comes again through all routers in turn. */
async function sendAgainAndAgain(world: GatewayWorld, kind: RequestKind): Promise<void> {
  for (let turn = 0; turn < TIMES; turn += 1) {
    world.request(turn, kind, 'tenant-2', 0, CRASHING_BODY);
    await world.clock.advance(GAP_MS);
  }
}

test.failing('a request that crashes engines is stopped soon after its third crash', async (t) => {
  const world = await GatewayWorld.create(SEED);
  await sendAgainAndAgain(world, 'stream-once');
  await world.settle();
  t.deepEqual(findBreaches(world), []);
});
