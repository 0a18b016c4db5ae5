/**
 * Guards against a queue of one service that holds requests it can't serve, neglects tenants within
 * their share, forgets callers, or hides its decisions.
 */
import test from 'ava';
import {
  checkQueueSettings,
  queueSettingsFor,
} from '../../src/coordination/gateway/admission/queue-settings.js';
import {
  ServiceQueue,
  type ServiceQueueParts,
} from '../../src/coordination/gateway/admission/service-queue.js';
import {
  SendAttempt,
  type WaitDemand,
  type WaitingCall,
} from '../../src/coordination/gateway/admission/waiting-call.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import type { Logger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { RejectionReason } from '../../src/state/routing/rejection.js';

const OBJECTIVE_MS = 1_000;
const SERVICE_MS = 50;

interface LogLine {
  readonly event: string;
  readonly fields: Record<string, unknown>;
}

/** Server with a number of slots, with a queue in front of it. */
class Bench {
  readonly clock = new VirtualClock();
  readonly statistics = new GatewayStatistics();
  readonly lines: LogLine[] = [];
  readonly served: string[] = [];
  readonly rejected = new Map<string, RejectionReason>();
  readonly queue: ServiceQueue;
  slots = 2;
  running = 0;
  serviceMs = SERVICE_MS;

  constructor(changes: Partial<ServiceQueueParts> = {}) {
    const log = (event: string, fields: Record<string, unknown> = {}): void => {
      this.lines.push({ event, fields });
    };
    this.queue = new ServiceQueue({
      service: 'service',
      bounds: { maximumRequests: 100, maximumBytes: 1_000_000 },
      maximumWaitMs: 10_000,
      room: () => Math.max(0, this.slots - this.running),
      dividesSlots: () => false,
      shareOfTraffic: () => 1,
      tenantRanking: { useOfShare: () => 0 },
      statistics: this.statistics,
      clock: this.clock,
      random: new SeededRandom(3),
      logger: { info: log, warn: log, error: log, debug: log } as unknown as Logger,
      ...changes,
    });
  }

  /** Serves enough requests that the queue knows the rate. */
  async warmUp(): Promise<void> {
    for (let count = 0; count < 100; count += 1) {
      this.queue.noteCompleted();
      await this.clock.advance(SERVICE_MS / this.slots);
    }
  }

  /** Sends a request at once if a slot is free and nobody waits; otherwise it enters the queue. */
  arrive(
    id: string,
    changes: Partial<WaitDemand> & Pick<WaitDemand, 'priority' | 'objectiveMs'>,
  ): void {
    this.queue.noteArrival(changes.priority, changes.objectiveMs);
    const isSent =
      this.running < this.slots &&
      this.queue.trySendAtOnce(changes.priority, () => this.demandOf(id, changes));
    if (isSent) this.start(id);
    else this.request(id, changes);
  }

  request(
    id: string,
    changes: Partial<WaitDemand> = {},
    trySend = (): SendAttempt => this.start(id),
  ): ReturnType<ServiceQueue['enter']> {
    const call: WaitingCall = {
      trySend,
      rejectFromQueue: (reason) => void this.rejected.set(id, reason),
    };
    return this.queue.enter(call, this.demandOf(id, changes));
  }

  /** Adds a request that ends when its turn comes, for example because its quota is denied. */
  requestThatEnds(id: string): void {
    const place = this.request(id, {}, () => {
      if ('leave' in place) place.leave();
      return SendAttempt.Done;
    });
  }

  demandOf(id: string, changes: Partial<WaitDemand>): WaitDemand {
    const now = this.clock.now();
    return {
      requestId: id,
      priority: 1,
      tenant: 'tenant',
      bytes: 100,
      size: 100,
      isReturning: false,
      cause: RejectionReason.EnginesFull,
      arrivedMs: now,
      objectiveMs: OBJECTIVE_MS,
      deadlineMs: now + 4_000,
      firstTokenMs: SERVICE_MS,
      engineWaitMs: 0,
      ...changes,
    };
  }

  private start(id: string): SendAttempt {
    if (this.running >= this.slots) return SendAttempt.NoCapacity;
    this.running += 1;
    this.served.push(id);
    this.clock.setTimer(this.serviceMs, () => {
      this.running -= 1;
      this.queue.noteCompleted();
      this.queue.noteSendEnded();
    });
    return SendAttempt.Done;
  }
}

test('a tenant with seven times the requests does not displace a tenant within its share', async (t) => {
  const served = async (hasRanking: boolean): Promise<number> => {
    const useOfShare = (_: string, tenant: string | undefined): number =>
      hasRanking && tenant === 'heavy' ? 3 : 0.5;
    // A short queue: whoever does not fit is rejected.
    const bench = new Bench({
      tenantRanking: { useOfShare },
      bounds: { maximumRequests: 12, maximumBytes: Infinity },
    });
    await bench.warmUp();
    const ROUNDS = 60;
    for (let round = 0; round < ROUNDS; round += 1) {
      for (let each = 0; each < 7; each += 1) {
        bench.request(`heavy-${round}-${each}`, { tenant: 'heavy' });
      }
      bench.request(`light-${round}`, { tenant: 'light' });
      await bench.clock.advance(100);
    }
    await bench.clock.advance(5_000);
    return bench.served.filter((id) => id.startsWith('light')).length / ROUNDS;
  };
  const [withRanking, without] = [await served(true), await served(false)];
  t.log(withRanking, without);
  t.true(withRanking >= 0.95);
  t.true(without < 0.8);
});

test('a request that is not expected in time is rejected at once, with a delay from the rate', async (t) => {
  const bench = new Bench();
  await bench.warmUp();
  bench.running = bench.slots;
  const results = Array.from({ length: 80 }, (_, index) => bench.request(`request-${index}`));
  const refusals = results.flatMap((result) => ('reason' in result ? [result] : []));
  // 40 requests a second for 950 ms.
  t.log(results.length - refusals.length);
  t.true(Math.abs(results.length - refusals.length - 38) <= 4);
  const [refusal] = refusals;
  t.is(refusal?.reason, RejectionReason.QueueTooLong);
  t.true(Math.abs((refusal?.details.servedPerSecond ?? 0) - 40) < 4);
  t.is(bench.statistics.queueTooLongRejections, refusals.length);
});

test('a request whose wait becomes hopeless is rejected while it can be in time elsewhere', async (t) => {
  const bench = new Bench();
  await bench.warmUp();
  bench.running = bench.slots;
  for (let index = 0; index < 30; index += 1) bench.request(`request-${index}`);
  const startedMs = bench.clock.now();
  // Nothing is completed any more.
  while (bench.rejected.size < 30 && bench.clock.now() - startedMs < 3_000) {
    await bench.clock.advance(10);
  }
  t.log(bench.clock.now() - startedMs);
  t.is(bench.queue.size, 0);
  t.true(bench.clock.now() - startedMs <= OBJECTIVE_MS);
  t.true([...bench.rejected.values()].every((reason) => reason === RejectionReason.QueueTooLong));
});

test('urgent requests with a short objective are served as often as less urgent ones', async (t) => {
  const bench = new Bench();
  // With two completions a second, the expected wait exceeds the slack of the urgent requests only.
  bench.serviceMs = 1_000;
  const offered = [0, 0];
  const ROUNDS = 300;
  for (let round = 0; round < ROUNDS; round += 1) {
    const isUrgent = round % 3 === 0;
    const id = `${isUrgent ? 'urgent' : 'other'}-${round}`;
    offered[isUrgent ? 0 : 1] = (offered[isUrgent ? 0 : 1] as number) + 1;
    const objectiveMs = isUrgent ? 300 : 1_215;
    bench.arrive(id, { priority: isUrgent ? 0 : 2, objectiveMs });
    await bench.clock.advance(200 + ((round * 37) % 100));
  }
  await bench.clock.advance(5_000);
  const shares = ['urgent', 'other'].map(
    (kind, index) =>
      bench.served.filter((id) => id.startsWith(kind)).length / (offered[index] as number),
  ) as [number, number];
  t.log(...shares);
  t.true(shares[0] >= shares[1] - 0.05);
});

test('a less urgent kind that has stopped lets no urgent request wait past its objective', async (t) => {
  const bench = new Bench();
  for (let count = 0; count < 20; count += 1) {
    bench.arrive(`other-${count}`, { priority: 2, objectiveMs: OBJECTIVE_MS });
    await bench.clock.advance(2 * SERVICE_MS);
  }
  await bench.clock.advance(60_000);
  await bench.warmUp();
  bench.running = bench.slots;
  const urgent = { priority: 0, objectiveMs: 150 };
  for (let count = 0; count < 40; count += 1) bench.arrive(`urgent-${count}`, urgent);
  t.log(bench.queue.size);
  // 40 completions a second and 100 ms of slack.
  t.true(bench.queue.size <= 5);
});

test('a router with little traffic sends no more than its share of the free capacity', async (t) => {
  const bench = new Bench({ shareOfTraffic: () => 1 / 84 });
  bench.slots = 18;
  await bench.warmUp();
  bench.running = bench.slots;
  for (let index = 0; index < 10; index += 1) bench.request(`request-${index}`);
  bench.running = 0;
  await bench.clock.advance(SERVICE_MS - 10);
  t.log(bench.served.length);
  t.true(bench.served.length <= 2);
});

test('callers that leave during their responses do not make room look scarce', async (t) => {
  const bench = new Bench({ shareOfTraffic: () => 1 / 84 });
  bench.slots = 60;
  const INTERVAL_MS = 50;
  let sent = 0;
  const ROUNDS = 100;
  for (let round = 0; round < ROUNDS; round += 1) {
    bench.queue.noteArrival(1, OBJECTIVE_MS);
    if (bench.queue.trySendAtOnce(1, () => bench.demandOf(`request-${round}`, {}))) sent += 1;
    await bench.clock.advance(INTERVAL_MS);
    // Every second caller reads the response to its end.
    if (round % 2 === 0) bench.queue.noteCompleted();
    bench.queue.noteSendEnded();
  }
  t.log(sent);
  t.is(sent, ROUNDS);
});

test('requests that end at their turn use no send of the budget and do not count as sent', async (t) => {
  // One send in several seconds, so that a send spent on an ended request is missing.
  const bench = new Bench({ shareOfTraffic: () => 1 / 1_000 });
  await bench.warmUp();
  bench.running = bench.slots;
  for (let index = 0; index < 3; index += 1) bench.requestThatEnds(`ended-${index}`);
  bench.request('sent');
  bench.running = 0;
  bench.queue.noteSendEnded();
  bench.queue.noteSendEnded();
  await bench.clock.advance(200);
  t.deepEqual(bench.served, ['sent']);
  t.is(bench.statistics.dequeuedRequests, 1);
});

test('nothing waits longer than the bound', async (t) => {
  const bench = new Bench({ maximumWaitMs: 200 });
  await bench.warmUp();
  bench.running = bench.slots;
  bench.request('first', { objectiveMs: 8_000, deadlineMs: Infinity });
  await bench.clock.advance(400);
  t.is(bench.rejected.get('first'), RejectionReason.QueueTooLong);
});

test('a request that leaves is not tried again', async (t) => {
  const bench = new Bench();
  await bench.warmUp();
  bench.running = bench.slots;
  const place = bench.request('first');
  if ('leave' in place) place.leave();
  t.is(bench.queue.size, 0);
  bench.running = 0;
  await bench.clock.advance(500);
  t.deepEqual(bench.served, []);
  t.is(bench.statistics.queueAbandoned, 1);
});

test('a stopped queue sends nothing and accepts nothing', async (t) => {
  const bench = new Bench();
  await bench.warmUp();
  bench.running = bench.slots;
  bench.request('first');
  bench.queue.stop();
  bench.running = 0;
  await bench.clock.advance(500);
  t.deepEqual(bench.served, []);
  const result = bench.request('second');
  t.is('reason' in result && result.reason, RejectionReason.Stopping);
});

test('each decision is logged once with its inputs and counted', async (t) => {
  const bench = new Bench({ bounds: { maximumRequests: 1, maximumBytes: Infinity } });
  await bench.warmUp();
  bench.running = bench.slots;
  bench.request('first');
  bench.request('second', { priority: 0 });
  bench.request('third');
  bench.running = 0;
  await bench.clock.advance(300);
  t.deepEqual(
    bench.lines.map(({ event, fields }) => [event, fields['request']]),
    [
      ['request_queued', 'first'],
      ['request_queued', 'second'],
      ['request_queue_rejected', 'first'],
      ['request_queue_rejected', 'third'],
      ['request_dequeued', 'second'],
    ],
  );
  for (const { fields } of bench.lines) {
    for (const key of ['position', 'expected_ms', 'slack_ms', 'waited_ms', 'rate_age_ms']) {
      t.is(typeof fields[key], 'number', key);
    }
  }
  const { queuedRequests, dequeuedRequests, queueEvictions, queueFullRejections } =
    bench.statistics;
  t.deepEqual(
    [queuedRequests, dequeuedRequests, queueEvictions, queueFullRejections],
    [2, 1, 1, 1],
  );
});

test('bounds follow from the memory, and unusable ones are refused by name', (t) => {
  const small = queueSettingsFor(64);
  t.true(small.maximumBytes <= 8 * 1_048_576);
  t.true(small.maximumRequests < queueSettingsFor(4_096).maximumRequests);
  t.throws(() => queueSettingsFor(0), { instanceOf: RangeError, message: /memory/ });
  t.throws(() => checkQueueSettings({ ...small, maximumWaitMs: NaN }), {
    message: /maximumWaitMs/,
  });
});
