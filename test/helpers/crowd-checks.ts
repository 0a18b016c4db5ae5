/** What must hold while a crowd of clients that do not behave stays at a router, and afterwards. */
import type { ExecutionContext } from 'ava';
import { type Crowd, admitCrowd } from '../../soak/client-crowds.js';
import {
  DESCRIPTOR_BOUND,
  type LimitedRouter,
  type Listeners,
  MEMORY_BOUND_BYTES,
  sendOrdinary,
  startLimitedRouter,
  untilReady,
} from './limited-router.js';
import { wait } from './socket-router.js';

const TEST_TIMEOUT_MS = 120_000;
/** How long a crowd stays, unless no ordinary request was served in that time. */
const CROWD_MS = 6_000;
const ORDINARY_INTERVAL_MS = 100;
/**
 * The crowd leaves after so many ordinary requests although none was served: before the time of its
 * bodies is over, which makes room for a moment.
 */
const MAXIMUM_ORDINARY = 120;
const OK = 200;

let nextHost = 1;

/**
 * A router at a loopback address of its own.
 *
 * @param generationEngines addresses of the engines of generations; by default the engine of bodies
 */
export function startAlone(
  t: ExecutionContext,
  generationEngines?: readonly string[],
): Promise<LimitedRouter> {
  t.timeout(TEST_TIMEOUT_MS);
  const block = process.pid % 250;
  nextHost += 1;
  return startLimitedRouter(t, `127.88.${block}.${nextHost}`, { generationEngines });
}

/** Lets a crowd stay at one listener while ordinary requests go to the ingress. */
export async function outliveCrowd(
  t: ExecutionContext,
  crowd: Crowd,
  listener: keyof Listeners = 'ingress',
): Promise<void> {
  const router = await startAlone(t);
  const leave = admitCrowd(crowd, router.listeners[listener]);
  const { sent, served } = await sendWhileItStays(router, crowd.ordinaryBodyBytes);
  await leave();
  t.log(`${served} of ${sent} ordinary requests were served meanwhile`);
  await checkRouter(t, router);
  t.true(served > 0, 'no ordinary request was served while the crowd stayed');
}

/** Checks the bounds, and that one ordinary request is answered now. */
export async function checkRouter(t: ExecutionContext, router: LimitedRouter): Promise<void> {
  const { listeners, usage } = router;
  await untilReady(router);
  const status = await sendOrdinary(listeners.ingress, 'afterwards');
  usage.sample();
  t.log(`peak of ${Math.round(usage.peakBytes / 1e6)} MB, ${usage.peakDescriptors} descriptors`);
  t.is(usage.end, undefined, 'the process has ended');
  t.true(usage.peakBytes < MEMORY_BOUND_BYTES, `${usage.peakBytes} bytes of memory`);
  t.true(usage.peakDescriptors <= DESCRIPTOR_BOUND, `${usage.peakDescriptors} descriptors`);
  t.is(status, OK);
}

/** Sends ordinary requests at a steady rate until the crowd has stayed and one was served. */
export async function sendWhileItStays(
  { listeners, usage }: LimitedRouter,
  bodyBytes?: number,
): Promise<{ sent: number; served: number }> {
  const result = { sent: 0, served: 0 };
  const calls: Promise<void>[] = [];
  while (usage.end === undefined && result.sent < MAXIMUM_ORDINARY) {
    if (result.served > 0 && result.sent * ORDINARY_INTERVAL_MS >= CROWD_MS) break;
    result.sent += 1;
    const attempt = `ordinary-${result.sent}`;
    const call = sendOrdinary(listeners.ingress, attempt, bodyBytes).then((status) => {
      if (status === OK) result.served += 1;
    });
    calls.push(call);
    await wait(ORDINARY_INTERVAL_MS);
  }
  return result;
}
