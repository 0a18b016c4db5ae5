/** Guards against a queue that serves in the wrong order, neglects callers or exceeds its bounds. */
import test from 'ava';
import fc from 'fast-check';
import {
  type QueueCandidate,
  type QueueEntry,
  RequestQueue,
  compareEntries,
} from '../../src/state/routing/request-queue.js';
import { type WaitContext, judgeWait } from '../../src/state/routing/wait-verdict.js';
import { ServiceRate } from '../../src/state/routing/service-rate.js';

const UNBOUNDED = { maximumRequests: Infinity, maximumBytes: Infinity };

function candidate(changes: Partial<QueueCandidate> = {}): QueueCandidate {
  return {
    priority: 1,
    tenant: 'tenant-1',
    bytes: 100,
    size: 100,
    isReturning: false,
    latestSendMs: 1_000,
    useOfShare: 0,
    ...changes,
  };
}

function enter(queue: RequestQueue, changes: Partial<QueueCandidate>): QueueEntry {
  const result = queue.enter(candidate(changes));
  if (result.kind !== 'entered') throw new Error('the queue is full');
  return result.entry;
}

/** Takes the next entry out as served. */
function serve(queue: RequestQueue): QueueCandidate | undefined {
  const entry = queue.next;
  if (entry) queue.leave(entry, true);
  return entry?.candidate;
}

test('requests leave by urgency, then return, then slack, then use of the share', (t) => {
  const queue = new RequestQueue(UNBOUNDED);
  enter(queue, { priority: 2, latestSendMs: 0, tenant: 'less urgent' });
  enter(queue, { latestSendMs: 1_000, useOfShare: 3, tenant: 'over its share' });
  enter(queue, { latestSendMs: 1_040, useOfShare: 0.5, tenant: 'within its share' });
  enter(queue, { latestSendMs: 400, tenant: 'less slack' });
  enter(queue, { latestSendMs: 9_000, isReturning: true, tenant: 'returning' });
  enter(queue, { priority: 0, latestSendMs: 9_000, tenant: 'most urgent' });
  const late = enter(queue, { latestSendMs: 10, tenant: 'late' });
  queue.reorder(late, { isLate: true, useOfShare: 0 });
  const order = Array.from({ length: 7 }, () => serve(queue)?.tenant);
  t.deepEqual(order, [
    'most urgent',
    'returning',
    'less slack',
    'within its share',
    'over its share',
    'late',
    'less urgent',
  ]);
});

/** A change of the queue: a request enters, or one of those present leaves. */
const anyStep = fc.oneof(
  fc.record({
    priority: fc.integer({ min: 0, max: 3 }),
    latestSendMs: fc.integer({ min: 0, max: 600 }),
    useOfShare: fc.constantFrom(0, 0.5, 2),
    isReturning: fc.boolean(),
    // The shares of many tenants are too small to compare, so only the order decides.
    tenant: fc.integer({ min: 0, max: 1_000_000 }).map((id) => `tenant-${id}`),
  }),
  fc.nat(),
);

test('the queue agrees with a sorted list', (t) => {
  const property = fc.property(fc.array(anyStep, { maxLength: 120 }), (steps) => {
    const queue = new RequestQueue(UNBOUNDED);
    const list: QueueEntry[] = [];
    for (const step of steps) {
      // Equal sizes would all belong to the longest prompts.
      if (typeof step !== 'number') list.push(enter(queue, { ...step, size: -list.length }));
      else if (list.length > 0) {
        const [entry] = list.splice(step % list.length, 1);
        t.true(queue.leave(entry as QueueEntry, false));
        t.false(queue.leave(entry as QueueEntry, false));
      }
      list.sort(
        (left, right) =>
          left.candidate.priority - right.candidate.priority || compareEntries(left, right),
      );
      t.is(queue.next?.sequence, list[0]?.sequence);
      t.is(queue.size, list.length);
      t.is(
        queue.bytes,
        list.reduce((sum, each) => sum + each.candidate.bytes, 0),
      );
    }
  });
  fc.assert(property, { seed: 7, numRuns: 300 });
});

test('a full queue displaces less urgent requests and tenants over their share first', (t) => {
  const queue = new RequestQueue({ maximumRequests: 3, maximumBytes: 1_000 });
  enter(queue, { priority: 1, tenant: 'within', latestSendMs: 900 });
  enter(queue, { priority: 1, tenant: 'over', useOfShare: 4, latestSendMs: 100 });
  enter(queue, { priority: 2, tenant: 'less urgent' });
  const urgent = queue.enter(candidate({ priority: 0 }));
  t.deepEqual(urgent.kind === 'entered' && urgent.evicted.map((each) => each.candidate.tenant), [
    'less urgent',
  ]);
  const next = queue.enter(candidate({ latestSendMs: 5_000 }));
  t.deepEqual(next.kind === 'entered' && next.evicted.map((each) => each.candidate.tenant), [
    'over',
  ]);
  t.is(queue.enter(candidate({ latestSendMs: 9_000 })).kind, 'full');
  t.is(queue.size, 3);
});

test('waiting requests never exceed the bounds', (t) => {
  const arrivals = fc.array(
    fc.record({
      bytes: fc.integer({ min: 0, max: 2_000 }),
      priority: fc.integer({ min: 0, max: 2 }),
    }),
  );
  const property = fc.property(arrivals, (requests) => {
    const queue = new RequestQueue({ maximumRequests: 6, maximumBytes: 5_000 });
    const present = new Set<QueueEntry>();
    for (const request of requests) {
      const result = queue.enter(candidate(request));
      if (result.kind === 'entered') {
        present.add(result.entry);
        for (const evicted of result.evicted) t.true(present.delete(evicted));
      }
      t.true(queue.size <= 6 && queue.bytes <= 5_000);
      t.is(queue.size, present.size);
    }
  });
  fc.assert(property, { seed: 8, numRuns: 200 });
});

interface Shares {
  readonly served: Map<string, number>;
  readonly offered: Map<string, number>;
}

/**
 * Offers three requests for each one served and drops those that missed their time, so that two
 * thirds are not served.
 */
function overload(rounds: number, requestAt: (index: number) => Partial<QueueCandidate>): Shares {
  const queue = new RequestQueue(UNBOUNDED);
  const served = new Map<string, number>();
  const offered = new Map<string, number>();
  const count = (counts: Map<string, number>, { tenant, size }: QueueCandidate): void => {
    for (const key of [tenant ?? '', size > 1_000 ? 'long' : 'short']) {
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  };
  const waiting: QueueEntry[] = [];
  for (let index = 0; index < rounds * 3; index += 1) {
    const entry = enter(queue, requestAt(index));
    waiting.push(entry);
    count(offered, entry.candidate);
    const nowMs = index * 10;
    for (const each of waiting.splice(0)) {
      if (each.candidate.latestSendMs < nowMs) queue.leave(each, false);
      else waiting.push(each);
    }
    if (index % 3 > 0) continue;
    const next = serve(queue);
    if (next) count(served, next);
  }
  return { served, offered };
}

function shareOf({ served, offered }: Shares, key: string): number {
  return (served.get(key) ?? 0) / (offered.get(key) ?? 1);
}

test('a tenant that the order puts last gets a quarter of the share of the others', (t) => {
  // The last tenant is over its share and has the most slack, so the order alone never serves it.
  const shares = overload(3_000, (index) => {
    const isLast = index % 5 === 0;
    const slackMs = isLast ? 2_000 : 500;
    return {
      tenant: isLast ? 'last' : `tenant-${index % 5}`,
      latestSendMs: index * 10 + slackMs,
      useOfShare: isLast ? 6 : 0,
      isReturning: !isLast,
    };
  });
  const others = [1, 2, 3, 4].map((index) => shareOf(shares, `tenant-${index}`));
  const mean = others.reduce((sum, each) => sum + each, 0) / others.length;
  t.log(shareOf(shares, 'last'), mean);
  t.true(shareOf(shares, 'last') >= mean / 4);
});

test('long prompts get half of the share of their kind', (t) => {
  // Long prompts return less often and have more slack, so the order alone never serves them.
  const shares = overload(3_000, (index) => {
    const isLong = index % 10 === 0;
    return {
      tenant: `tenant-${index % 3}`,
      size: isLong ? 9_000 + index : 100 + (index % 7),
      latestSendMs: index * 10 + (isLong ? 2_000 : 500),
      isReturning: !isLong,
    };
  });
  t.log(shareOf(shares, 'long'), shareOf(shares, 'short'));
  t.true(shareOf(shares, 'long') >= shareOf(shares, 'short') / 2);
});

test('an urgent request is never served after a less urgent one that waits', (t) => {
  const queue = new RequestQueue(UNBOUNDED);
  for (let index = 0; index < 300; index += 1) {
    enter(queue, { priority: index % 3, latestSendMs: index * 7, tenant: `tenant-${index % 4}` });
  }
  const priorities = Array.from({ length: 300 }, () => serve(queue)?.priority ?? 0);
  t.deepEqual(
    priorities,
    [...priorities].sort((left, right) => left - right),
  );
});

test('a request that fits nowhere does not hold up the others', (t) => {
  const queue = new RequestQueue(UNBOUNDED);
  const first = enter(queue, { latestSendMs: 1 });
  const second = enter(queue, { latestSendMs: 500 });
  const tried: QueueEntry[] = [];
  const isSent = queue.sendNext((entry) => {
    tried.push(entry);
    return entry === second;
  }, 4);
  t.true(isSent);
  t.deepEqual(tried, [first, second]);
  t.is(queue.next, first);
  t.is(queue.size, 1);
});

test('many large requests that fit nowhere do not hold up one that fits', (t) => {
  const queue = new RequestQueue(UNBOUNDED);
  const large = Array.from({ length: 6 }, (_, index) =>
    enter(queue, { priority: 0, size: 1_000, latestSendMs: index }),
  );
  const small = enter(queue, { size: 10, latestSendMs: 500 });
  t.true(queue.sendNext((entry) => entry === small, 4));
  t.is(queue.size, large.length);
  t.is(queue.next, large[0]);
});

test('10,000 waiting requests enter and leave with few comparisons', (t) => {
  // A list that is sorted at each change needs thousands of comparisons for each request.
  const COUNT = 10_000;
  const queue = new RequestQueue(UNBOUNDED);
  let reads = 0;
  const entries = Array.from({ length: COUNT }, (_, index) => {
    const latestSendMs = (index * 7_919) % 50_021;
    return enter(queue, {
      tenant: `tenant-${index % 80}`,
      get latestSendMs() {
        return latestSendMs;
      },
    });
  });
  for (const entry of entries) {
    const { candidate: own } = entry as { candidate: { latestSendMs: number } };
    const value = own.latestSendMs;
    Object.defineProperty(own, 'latestSendMs', {
      get: () => {
        reads += 1;
        return value;
      },
    });
  }
  const extra = Array.from({ length: 100 }, (_, index) => enter(queue, { latestSendMs: index }));
  for (const entry of extra) queue.leave(entry, false);
  const readsPerChange = reads / 200;
  reads = 0;
  for (let index = 0; index < COUNT; index += 1) t.truthy(serve(queue));
  const readsPerPick = reads / COUNT;
  t.log(readsPerChange, readsPerPick);
  t.true(readsPerChange < 500 && readsPerPick < 500);
});

const WAIT: WaitContext = {
  ahead: 0,
  ownRoom: 0,
  servedPerSecond: 10,
  arrivalsPerSecond: 4,
  engineWaitMs: 0,
  slackMs: 500,
  firstTokenMs: 50,
  remainingMs: 4_000,
  isDisadvantaged: false,
};

test('a request is kept only while it can be served in time, or late but before its deadline', (t) => {
  const RETRY_MS = 100;
  t.is(judgeWait(WAIT, RETRY_MS), 'in-time');
  // In time is impossible here, but its caller may still be served in time elsewhere.
  t.is(judgeWait({ ...WAIT, ahead: 9 }, RETRY_MS), 'reject');
  t.is(judgeWait({ ...WAIT, engineWaitMs: 900 }, RETRY_MS), 'reject');
  t.is(judgeWait({ ...WAIT, ahead: 9, ownRoom: 8 }, RETRY_MS), 'in-time');
  t.is(judgeWait({ ...WAIT, remainingMs: 80 }, RETRY_MS), 'reject');
  // It can't be in time anywhere: kept if a late response is likely.
  t.is(judgeWait({ ...WAIT, slackMs: 20 }, RETRY_MS), 'late');
  t.is(judgeWait({ ...WAIT, slackMs: -300 }, RETRY_MS), 'late');
  t.is(judgeWait({ ...WAIT, slackMs: 20, ahead: 40 }, RETRY_MS), 'reject');
  // New requests go first, so a late one is never served while more arrive than are served.
  t.is(judgeWait({ ...WAIT, slackMs: 20, arrivalsPerSecond: 11 }, RETRY_MS), 'reject');
  t.is(judgeWait({ ...WAIT, slackMs: 20, remainingMs: 200 }, RETRY_MS), 'reject');
});

test('the service rate follows a burst within about a second and expires', (t) => {
  const rate = new ServiceRate();
  t.is(rate.perSecond(0), 4);
  let nowMs = 0;
  for (; nowMs < 5_000; nowMs += 100) rate.noteCompleted(nowMs);
  t.true(Math.abs(rate.perSecond(nowMs) - 10) < 1, `${rate.perSecond(nowMs)}`);
  for (; nowMs < 7_000; nowMs += 25) rate.noteCompleted(nowMs);
  t.true(rate.perSecond(nowMs) > 25, `${rate.perSecond(nowMs)}`);
  t.is(rate.perSecond(nowMs + 60_000), 4);
});

test('a lull without waiting requests does not make the expected wait long', (t) => {
  const rate = new ServiceRate();
  for (let nowMs = 0; nowMs <= 1_000; nowMs += 100) rate.noteCompleted(nowMs);
  const LULL_ENDS_MS = 5_000;
  const beforeLull = rate.perSecond(1_000, 0);
  t.is(rate.perSecond(LULL_ENDS_MS, LULL_ENDS_MS), beforeLull);
  // Requests that have been waiting show that nothing is completed.
  t.true(rate.perSecond(LULL_ENDS_MS, 0) < 1);
});
