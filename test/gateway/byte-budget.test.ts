/**
 * Guards against a router that holds more bytes for callers and engines than its budget, drops the
 * wrong response, or counts bytes that it no longer holds.
 */
import test from 'ava';
import fc from 'fast-check';
import {
  type BodyShare,
  ByteBudget,
  type DroppedBytes,
  type ResponseShare,
  byteBudgetOf,
} from '../../src/state/routing/byte-budget.js';
import { memorySettingsFor } from '../../src/coordination/gateway/memory-settings.js';

const TOTAL = 16_000;
const SETTINGS = byteBudgetOf(TOTAL);

interface OpenedResponse {
  readonly share: ResponseShare;
  readonly drops: DroppedBytes[];
}

function open(budget: ByteBudget, nowMs = 0): OpenedResponse {
  const drops: DroppedBytes[] = [];
  return { share: budget.openResponse(nowMs, (dropped) => drops.push(dropped)), drops };
}

test('over the budget, the response that holds the most bytes is dropped first', (t) => {
  const budget = new ByteBudget(SETTINGS);
  const [small, large, last] = [open(budget), open(budget), open(budget)];
  small.share.update(3_000, 10);
  large.share.update(9_000, 20);
  last.share.update(4_000, 30);
  t.is(budget.heldBytes, 16_000);
  last.share.update(4_001, 40);
  t.deepEqual(large.drops, [{ bytes: 9_000, stalledMs: 20 }]);
  t.deepEqual([small.drops, last.drops], [[], []]);
  t.is(budget.heldBytes, 7_001);
});

test('among responses that hold the same, the one longest without progress is dropped', (t) => {
  const budget = new ByteBudget(SETTINGS);
  const [taking, stopped, other] = [open(budget), open(budget), open(budget)];
  taking.share.update(6_000, 10);
  stopped.share.update(5_000, 20);
  taking.share.update(5_000, 30);
  other.share.update(4_000, 40);
  other.share.update(6_001, 50);
  // The largest goes first although it made progress last.
  t.is(other.drops.length, 1);
  const next = open(budget, 60);
  next.share.update(4_999, 60);
  open(budget, 70).share.update(1_002, 70);
  t.deepEqual(stopped.drops, [{ bytes: 5_000, stalledMs: 50 }]);
  t.deepEqual([taking.drops, next.drops], [[], []]);
});

test('a response beyond its share is paused and continues below half of it', (t) => {
  const { share } = open(new ByteBudget(SETTINGS));
  share.update(SETTINGS.responseBytes, 0);
  t.true(share.mayGrow);
  share.update(SETTINGS.responseBytes + 1, 0);
  t.deepEqual([share.mayGrow, share.mayResume], [false, false]);
  share.update(SETTINGS.responseBytes / 2, 0);
  t.deepEqual([share.mayGrow, share.mayResume], [true, true]);
});

test('bodies get half of the budget, and none that is beyond it', (t) => {
  const budget = new ByteBudget(SETTINGS);
  const body = budget.openBody();
  t.true(body.grow(8_000));
  t.false(budget.admitsBody(1));
  t.false(body.grow(1));
  t.is(budget.heldBytes, 8_000);
  const { share, drops } = open(budget);
  share.update(8_000, 0);
  t.deepEqual(drops, []);
  body.release();
  share.update(16_000, 0);
  t.deepEqual(drops, []);
  t.false(budget.admitsBody(1), 'no response is dropped for a new body');
});

test('a body that stands still is dropped for a newer one, the one that does so for longest first', (t) => {
  const budget = new ByteBudget(SETTINGS);
  const dropped: string[] = [];
  const openNamed = (name: string, nowMs: number): BodyShare =>
    budget.openBody(nowMs, ({ stalledMs }) => dropped.push(`${name} ${stalledMs}`));
  const [moving, still] = [openNamed('moving', 0), openNamed('still', 0)];
  const stillest = openNamed('stillest', 0);
  for (const body of [moving, still, stillest]) t.true(body.grow(2_500, 0));
  moving.noteProgress(900);
  still.noteProgress(100);
  const newer = openNamed('newer', 1_000);
  t.true(newer.grow(2_000, 1_000));
  t.deepEqual(dropped, ['stillest 1000']);
  t.true(newer.grow(1_000, 1_000));
  t.deepEqual(dropped, ['stillest 1000']);
  t.true(newer.grow(2_000, 1_000));
  t.deepEqual(dropped, ['stillest 1000', 'still 900']);
  t.is(budget.heldBytes, 7_500);
});

test('while all bodies move, a smaller one has a larger one dropped, never the reverse', (t) => {
  const budget = new ByteBudget(SETTINGS);
  const dropped: string[] = [];
  const openNamed = (name: string): BodyShare => budget.openBody(0, () => dropped.push(name));
  const [large, small] = [openNamed('large'), openNamed('small')];
  t.true(large.grow(6_000, 0));
  t.true(small.grow(2_000, 0));
  t.false(large.grow(1, 100));
  t.deepEqual(dropped, []);
  t.true(small.grow(1_000, 100));
  t.deepEqual(dropped, ['large']);
});

test('a body that is complete is not dropped, and none is where that makes no room', (t) => {
  const budget = new ByteBudget(SETTINGS);
  const dropped: string[] = [];
  const [whole, arriving] = ['whole', 'arriving'].map((name) =>
    budget.openBody(0, () => dropped.push(name)),
  ) as [BodyShare, BodyShare];
  t.true(whole.grow(6_000, 0));
  whole.complete();
  t.true(arriving.grow(1_000, 0));
  t.false(budget.openBody(9_000, () => undefined).grow(3_000, 9_000));
  t.deepEqual(dropped, []);
  t.true(budget.makeRoom(2_000, 9_000));
  t.deepEqual(dropped, ['arriving']);
});

test('an engine that takes no bodies gets no more of them, but one of any size otherwise', (t) => {
  const budget = new ByteBudget(SETTINGS);
  const body = budget.openBody();
  body.grow(3_000);
  t.true(budget.hasRoomAt('engine-1', 3_000));
  body.queueAt('engine-1');
  t.false(budget.hasRoomAt('engine-1', 1));
  t.true(budget.hasRoomAt('engine-2', 3_000));
  body.noteTaken();
  t.true(budget.hasRoomAt('engine-1', 3_000));
  t.is(budget.heldBytes, 0);
});

test('a body that is sent again counts once, at the engine that has it now', (t) => {
  const budget = new ByteBudget(SETTINGS);
  const body = budget.openBody();
  body.grow(1_000);
  body.queueAt('engine-1');
  body.leaveEngine();
  t.is(budget.heldBytes, 1_000);
  body.queueAt('engine-2');
  t.deepEqual([budget.queuedAt('engine-1'), budget.queuedAt('engine-2')], [0, 1_000]);
  body.noteTaken();
  body.noteTaken();
  t.is(budget.heldBytes, 0);
  body.queueAt('engine-3');
  t.is(budget.heldBytes, 1_000);
  body.release();
  body.release();
  t.deepEqual([budget.heldBytes, budget.queuedAt('engine-3')], [0, 0]);
});

test('the budget leaves room for the process, and a wrong memory size is reported', (t) => {
  const BYTES_PER_MEGABYTE = 1_048_576;
  for (const memoryMb of [178, 602]) {
    t.is(memorySettingsFor(memoryMb).totalBytes, (memoryMb * BYTES_PER_MEGABYTE) / 4);
  }
  t.deepEqual(memorySettingsFor(), memorySettingsFor(178));
  for (const memoryMb of [0, -1, NaN, Infinity]) {
    t.throws(() => memorySettingsFor(memoryMb), { instanceOf: RangeError });
  }
});

const ENGINES = ['engine-1', 'engine-2'];
const holder = fc.nat(5);
const bytes = fc.nat(5_000);
const event = fc.oneof(
  fc.record({ kind: fc.constant('update' as const), holder, bytes }),
  fc.record({ kind: fc.constant('grow' as const), holder, bytes }),
  fc.record({ kind: fc.constant('queue' as const), holder, engine: fc.constantFrom(...ENGINES) }),
  fc.record({
    kind: fc.constantFrom('close' as const, 'taken' as const, 'leave' as const, 'end' as const),
    holder,
  }),
);
type Event = typeof event extends fc.Arbitrary<infer Value> ? Value : never;

interface Holders {
  readonly responses: readonly OpenedResponse[];
  readonly bodies: readonly BodyShare[];
}

function apply(each: Event, { responses, bodies }: Holders, nowMs: number): void {
  const response = responses[each.holder]?.share as ResponseShare;
  const body = bodies[each.holder] as BodyShare;
  if (each.kind === 'update') response.update(each.bytes, nowMs);
  else if (each.kind === 'grow') body.grow(each.bytes, nowMs);
  else if (each.kind === 'queue') body.queueAt(each.engine);
  else if (each.kind === 'close') response.release();
  else if (each.kind === 'taken') body.noteTaken();
  else if (each.kind === 'leave') body.leaveEngine();
  else body.release();
}

test('whatever the order of events, the sum stays within the budget and returns to zero', (t) => {
  fc.assert(
    fc.property(fc.array(event, { minLength: 50, maxLength: 200, size: 'max' }), (events) => {
      const budget = new ByteBudget(SETTINGS);
      const holders: Holders = {
        responses: Array.from({ length: 6 }, () => open(budget)),
        bodies: Array.from({ length: 6 }, (_, index) =>
          index % 2 === 0 ? budget.openBody() : budget.openBody(0, () => undefined),
        ),
      };
      const probe = open(budget);
      for (const [index, each] of events.entries()) {
        apply(each, holders, index);
        const responseBytes = holders.responses.reduce((sum, { share }) => sum + share.bytes, 0);
        t.is(budget.heldBytes, responseBytes + budget.heldBodyBytes);
        // Bodies that are sent again count without being admitted; the next response reacts to it.
        probe.share.update(0, index);
        const holdsResponses = holders.responses.some(({ share }) => share.bytes > 0);
        if (holdsResponses) t.true(budget.heldBytes <= TOTAL);
      }
      for (const { share, drops } of holders.responses) {
        share.release();
        t.true(drops.length <= 1);
      }
      for (const body of holders.bodies) body.release();
      t.is(budget.heldBytes, 0);
      t.deepEqual(
        ENGINES.map((engine) => budget.queuedAt(engine)),
        [0, 0],
      );
    }),
    { seed: 7, numRuns: 500 },
  );
});
