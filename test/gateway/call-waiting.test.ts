/**
 * Guards against a request that the queue of its service counts more than once, which makes room
 * look scarce and kinds look served that are not.
 */
import test from 'ava';
import type { CallEnding } from '../../src/coordination/gateway/call-ending.js';
import type { CallRecord } from '../../src/coordination/gateway/call-record.js';
import { CallWaiting } from '../../src/coordination/gateway/call-waiting.js';
import type { Grant } from '../../src/coordination/gateway/request-admission.js';
import { SendAttempt } from '../../src/coordination/gateway/admission/waiting-call.js';
import type { Service } from '../../src/state/routing/configuration.js';
import type { Placement } from '../../src/state/routing/placement.js';

const PLACEMENT = { engine: { record: { id: 'engine', slots: 1 } } } as unknown as Placement;
const GRANT = { route: { objectiveMs: 1_000 }, priority: 1 } as unknown as Grant;
const SERVICE = { name: 'service' } as Service;

/** Dispatches a request whose engine has room; counts what its queue is asked. */
class Bench {
  arrivals = 0;
  allowedSends = 0;
  readonly waiting: CallWaiting;

  constructor(isEffective = true) {
    const queue = {
      noteArrival: () => (this.arrivals += 1),
      trySendAtOnce: () => (this.allowedSends += 1) > 0,
    };
    const queues = {
      isEffectiveFor: () => isEffective,
      of: () => queue,
      hasCapacity: () => isEffective,
      isPausing: () => false,
    };
    const call = { isUnstarted: true, sends: 0, request: {}, context: { queues } };
    this.waiting = new CallWaiting(
      call as unknown as CallRecord,
      {} as CallEnding,
      () => SendAttempt.Done,
    );
  }

  dispatch(): boolean {
    return !this.waiting.enterIfNeeded(PLACEMENT, GRANT, SERVICE);
  }
}

test('a request that is placed again after its quota was granted takes one turn and counts once', (t) => {
  const bench = new Bench();
  t.true(bench.dispatch());
  t.true(bench.dispatch());
  t.is(bench.arrivals, 1);
  t.is(bench.allowedSends, 1);
});

test('a request whose turn in the queue came takes no other while it waits for its quota', (t) => {
  const bench = new Bench();
  bench.waiting.noteTurn();
  t.true(bench.dispatch());
  t.is(bench.allowedSends, 0);
});

test('a send that did not reach its engine counts as no second arrival, and the next takes a turn', (t) => {
  const bench = new Bench();
  t.true(bench.dispatch());
  bench.waiting.noteSend();
  t.true(bench.dispatch());
  t.is(bench.arrivals, 1);
  t.is(bench.allowedSends, 2);
});

test('without an effective queue a request is sent at once, even if its engine has no room', (t) => {
  const bench = new Bench(false);
  t.true(bench.dispatch());
  t.is(bench.arrivals, 0);
});
