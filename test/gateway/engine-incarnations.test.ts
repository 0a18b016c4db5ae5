/**
 * After a restart of an engine, no state of its previous incarnation may be applied to the new one.
 */
import test from 'ava';
import fc from 'fast-check';
import { DECODER } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import type { StoredObject } from '../../src/protocol/object-store/port.js';
import { incarnationOf, parseIncarnation } from '../../src/state/routing/engine-incarnation.js';
import type { EngineRecord } from '../../src/state/routing/engine-registry.js';
import { ANNOUNCEMENT_MS, coordinatorHarness } from '../helpers/coordinator-harness.js';
import { EngineListHarness } from '../helpers/engine-list-harness.js';
import { engineRecord } from '../helpers/engine-record.js';
import { positionAt } from '../helpers/positions.js';

const NAME = 'engine-0';
const FIRST_MS = 1_000_000;
const SECOND_MS = 1_060_000;
const SEED = { seed: 43, numRuns: 300 };

/** An entry in the format of the simulated store. */
function entryOf(record: EngineRecord, revision: number): StoredObject {
  const spec = { ...record, modelVersions: [...record.modelVersions] };
  return { name: record.name, position: positionAt(revision), spec };
}

function listHarness(): EngineListHarness {
  const harness = new EngineListHarness({ decoder: DECODER });
  harness.list.applyAll([entryOf(engineRecord(NAME, FIRST_MS), 5)]);
  return harness;
}

function currentStartMs({ registry }: EngineListHarness): number | undefined {
  return registry.findByName(NAME)?.record.startedAtMs;
}

test('an incarnation identifier contains the name and the optional start time', (t) => {
  const name = fc.string({ minLength: 1 }).filter((text) => !/@\d{1,16}$/.test(text));
  const start = fc.option(fc.nat(), { nil: undefined });
  const property = fc.property(name, start, (text, startedAtMs) => {
    t.deepEqual(parseIncarnation(incarnationOf(text, startedAtMs)), { name: text, startedAtMs });
  });
  fc.assert(property, SEED);
});

test('a later incarnation replaces the previous one and inherits no observed state', (t) => {
  const harness = listHarness();
  const previous = harness.registry.findByName(NAME);
  previous?.observedVersions.set('model-a', 7);
  if (previous) previous.observedLoadCommands = 3;
  harness.list.apply(entryOf(engineRecord(NAME, SECOND_MS), 6));
  const present = harness.registry.findByName(NAME);
  t.is(present?.record.id, incarnationOf(NAME, SECOND_MS));
  t.is(present?.observedVersions.size, 0);
  t.is(present?.observedLoadCommands, undefined);
  t.is(harness.registry.ids.size, 1);
  t.deepEqual(
    harness.restarts.map(({ previous: { startedAtMs: previousMs }, startedAtMs }) => [
      previousMs,
      startedAtMs,
    ]),
    [[FIRST_MS, SECOND_MS]],
  );
  t.like(harness.log.of('engine_reborn'), [{ old_born_ms: FIRST_MS, new_born_ms: SECOND_MS }]);
});

test('a late or repeated entry of a previous incarnation changes nothing', (t) => {
  const harness = listHarness();
  harness.list.apply(entryOf(engineRecord(NAME, SECOND_MS), 6));
  harness.list.apply(entryOf(engineRecord(NAME, FIRST_MS), 5));
  harness.list.apply(entryOf(engineRecord(NAME, FIRST_MS), 7));
  t.is(currentStartMs(harness), SECOND_MS);
  t.is(harness.restarts.length, 1);
});

test('an entry with an earlier start time but a later store position is the current incarnation', (t) => {
  const harness = listHarness();
  const STEPPED_BACK_MS = FIRST_MS - 500;
  harness.list.apply(entryOf(engineRecord(NAME, STEPPED_BACK_MS), 6));
  t.is(currentStartMs(harness), STEPPED_BACK_MS);
  // Doesn't prove that the incarnation known before has ended.
  t.is(harness.restarts.length, 0);
  harness.list.apply(entryOf(engineRecord(NAME, FIRST_MS), 7));
  t.is(currentStartMs(harness), FIRST_MS);
  harness.list.apply(entryOf(engineRecord(NAME, STEPPED_BACK_MS), 8));
  t.is(currentStartMs(harness), FIRST_MS);
});

test('a response of a later incarnation replaces the current one at once, a response of an earlier one does not', (t) => {
  const harness = listHarness();
  const { record } = harness.registry.findByName(NAME) ?? t.fail() ?? {};
  if (!record) return;
  t.true(harness.incarnations.acceptResponse(record, FIRST_MS, 'report'));
  t.true(harness.incarnations.acceptResponse(record, undefined, 'report'));
  t.false(harness.incarnations.acceptResponse(record, FIRST_MS - 1, 'report'));
  t.is(currentStartMs(harness), FIRST_MS);
  t.false(harness.incarnations.acceptResponse(record, SECOND_MS, 'report'));
  t.is(currentStartMs(harness), SECOND_MS);
  harness.list.apply(entryOf(record, 9));
  t.is(currentStartMs(harness), SECOND_MS);
});

test('a later incarnation uses the previous record until its own entry arrives', (t) => {
  const harness = listHarness();
  const previous = harness.registry.findByName(NAME);
  previous?.observedVersions.set('model-a', 7);
  if (previous) previous.observedLoadCommands = 3;
  harness.incarnations.acceptResponseOf(incarnationOf(NAME, FIRST_MS), SECOND_MS, 'cache-events');
  const [present] = harness.registry.readyOf('generation');
  t.like(present?.record, { name: NAME, startedAtMs: SECOND_MS, address: `${NAME}:1` });
  t.is(present?.record.modelVersions.get('model-a'), 7);
  t.deepEqual([present?.observedVersions.size, present?.observedLoadCommands], [0, undefined]);
  // Its own entry takes precedence, even with an older version.
  harness.list.apply(entryOf(engineRecord(NAME, SECOND_MS), 6));
  t.is(harness.registry.findByName(NAME)?.record.modelVersions.get('model-a'), 1);
});

test('after a draining incarnation, the next one is not used before its entry arrives', (t) => {
  const harness = listHarness();
  harness.list.apply(entryOf(engineRecord(NAME, FIRST_MS, { isDraining: true }), 6));
  harness.incarnations.acceptResponseOf(incarnationOf(NAME, FIRST_MS), SECOND_MS, 'report');
  t.is(currentStartMs(harness), undefined);
});

test('the removal of an entry ends only the incarnation of that entry', async (t) => {
  const harness = listHarness();
  harness.list.noteFailure();
  harness.list.applyRemoval(NAME, positionAt(5));
  harness.list.apply(entryOf(engineRecord(NAME, SECOND_MS), 6));
  await harness.clock.advance(5_000);
  t.is(currentStartMs(harness), SECOND_MS);
  harness.list.applyRemoval(NAME, positionAt(5));
  t.is(currentStartMs(harness), SECOND_MS);
  harness.list.applyRemoval(NAME, positionAt(6));
  t.is(currentStartMs(harness), undefined);
});

test('a draining incarnation never becomes ready again; the next one does', (t) => {
  const harness = listHarness();
  harness.list.apply(entryOf(engineRecord(NAME, FIRST_MS, { isDraining: true }), 6));
  harness.list.apply(entryOf(engineRecord(NAME, FIRST_MS), 7));
  t.deepEqual(harness.registry.readyOf('generation'), []);
  harness.list.apply(entryOf(engineRecord(NAME, SECOND_MS), 8));
  t.is(harness.registry.readyOf('generation').length, 1);
});

test('an incarnation replaced by an entry with a later start time is used again when its own entry arrives', (t) => {
  const harness = listHarness();
  // The store received SECOND before STEPPED_BACK; the response arrived before both entries.
  const STEPPED_BACK_MS = SECOND_MS - 4_000;
  harness.incarnations.acceptResponseOf(
    incarnationOf(NAME, FIRST_MS),
    STEPPED_BACK_MS,
    'cache-events',
  );
  harness.list.apply(entryOf(engineRecord(NAME, SECOND_MS), 6));
  t.is(currentStartMs(harness), SECOND_MS);
  harness.list.apply(entryOf(engineRecord(NAME, STEPPED_BACK_MS), 7));
  t.is(currentStartMs(harness), STEPPED_BACK_MS);
  harness.list.apply(entryOf(engineRecord(NAME, SECOND_MS), 6));
  t.is(currentStartMs(harness), STEPPED_BACK_MS);
});

test('an announcement of an incarnation that an entry has replaced changes nothing', (t) => {
  const harness = listHarness();
  const STEPPED_BACK_MS = FIRST_MS - 500;
  harness.list.apply(entryOf(engineRecord(NAME, STEPPED_BACK_MS), 6));
  harness.incarnations.observeIncarnation(incarnationOf(NAME, FIRST_MS));
  t.is(currentStartMs(harness), STEPPED_BACK_MS);
  t.is(harness.restarts.length, 0);
});

for (const source of ['entry', 'response'] as const) {
  test(`an incarnation replaced by an announcement is restored with its state by its next ${source}`, (t) => {
    const harness = listHarness();
    harness.registry.findByName(NAME)?.observedVersions.set('model-a', 7);
    harness.incarnations.observeIncarnation(incarnationOf(NAME, SECOND_MS));
    t.is(currentStartMs(harness), SECOND_MS);
    if (source === 'entry') harness.list.apply(entryOf(engineRecord(NAME, FIRST_MS), 6));
    else harness.incarnations.acceptResponseOf(incarnationOf(NAME, SECOND_MS), FIRST_MS, 'report');
    t.is(currentStartMs(harness), FIRST_MS);
    const listed = source === 'entry' ? 1 : 7;
    t.is(harness.registry.findByName(NAME)?.record.modelVersions.get('model-a'), listed);
    harness.incarnations.observeIncarnation(incarnationOf(NAME, SECOND_MS));
    t.is(currentStartMs(harness), FIRST_MS);
  });
}

test('an incarnation known by announcements only is replaced by a response of any other one, even an earlier one', (t) => {
  const harness = listHarness();
  const STEPPED_BACK_MS = FIRST_MS - 500;
  harness.incarnations.observeIncarnation(incarnationOf(NAME, SECOND_MS));
  t.false(
    harness.incarnations.acceptResponseOf(
      incarnationOf(NAME, SECOND_MS),
      STEPPED_BACK_MS,
      'cache-events',
    ),
  );
  t.is(currentStartMs(harness), STEPPED_BACK_MS);
});

test('a response to a call addressed to a previous incarnation does not permanently replace the listed one', (t) => {
  const harness = listHarness();
  const STEPPED_BACK_MS = FIRST_MS + 500;
  harness.list.apply(entryOf(engineRecord(NAME, STEPPED_BACK_MS), 6));
  harness.incarnations.acceptResponseOf(incarnationOf(NAME, FIRST_MS), SECOND_MS, 'report');
  harness.list.apply(entryOf(engineRecord(NAME, STEPPED_BACK_MS), 7));
  t.is(currentStartMs(harness), STEPPED_BACK_MS);
});

test('a draining incarnation does not become ready again after an announcement of another one', (t) => {
  const harness = listHarness();
  harness.list.apply(entryOf(engineRecord(NAME, FIRST_MS, { isDraining: true }), 6));
  harness.incarnations.observeIncarnation(incarnationOf(NAME, SECOND_MS));
  t.is(currentStartMs(harness), undefined);
  harness.list.apply(entryOf(engineRecord(NAME, FIRST_MS), 7));
  t.deepEqual(harness.registry.readyOf('generation'), []);
});

interface IncarnationStep {
  readonly startedAtMs: number;
  readonly source: 'entry' | 'response' | 'announcement' | 'removal';
}

const INCARNATION_STEPS = fc.array(
  fc.record<IncarnationStep>({
    startedAtMs: fc.integer({ min: 1, max: 5 }),
    source: fc.constantFrom('entry', 'response', 'announcement', 'removal'),
  }),
  { maxLength: 30 },
);

/** Applies one step; responses are to calls addressed to the listed incarnation. */
function applyStep(
  harness: EngineListHarness,
  { startedAtMs, source }: IncarnationStep,
  revision: number,
): void {
  if (source === 'entry') harness.list.apply(entryOf(engineRecord(NAME, startedAtMs), revision));
  else if (source === 'removal') harness.list.applyRemoval(NAME, positionAt(revision));
  else if (source === 'announcement')
    harness.incarnations.observeIncarnation(incarnationOf(NAME, startedAtMs));
  else
    harness.incarnations.acceptResponseOf(
      incarnationOf(NAME, currentStartMs(harness) ?? 0),
      startedAtMs,
      'report',
    );
}

/** Tracks which incarnations have ended, given the observed steps. */
class IncarnationOracle {
  private readonly ended = new Set<number>();
  private readonly listed = new Set<number>();
  private readonly seen = new Set<number>();

  /** Returns the violation after a step; undefined if there is none. */
  faultAfter(step: IncarnationStep, before: number | undefined, present: number | undefined) {
    const { startedAtMs, source } = step;
    if (present === startedAtMs) this.recordStep(step, before);
    const isChanged = present !== before;
    // Entries apply in the store's order unless the incarnation has ended. Announcements reveal
    // only new ones.
    const wanted = this.ended.has(startedAtMs) ? before : startedAtMs;
    if (source === 'entry' && present !== wanted) return 'entry was not applied';
    if (source === 'announcement' && isChanged && this.seen.has(startedAtMs))
      return 'announcement restored an incarnation';
    if (present === undefined) return undefined;
    this.seen.add(present);
    return this.ended.has(present) ? 'ended incarnation was restored' : undefined;
  }

  private recordStep({ startedAtMs, source }: IncarnationStep, before: number | undefined): void {
    if (source === 'response') this.ended.delete(startedAtMs);
    const isReplaced = before !== undefined && startedAtMs > before;
    const hasEnded = source === 'response' || (source === 'entry' && this.listed.has(before ?? 0));
    if (isReplaced && hasEnded) this.ended.add(before);
    if (source === 'entry') this.listed.add(startedAtMs);
  }
}

test('for any order of steps, a replaced incarnation is restored only by its own response', (t) => {
  const property = fc.property(INCARNATION_STEPS, (steps) => {
    const harness = new EngineListHarness({ decoder: DECODER });
    const oracle = new IncarnationOracle();
    for (const [index, step] of steps.entries()) {
      const before = currentStartMs(harness);
      applyStep(harness, step, index);
      t.is(oracle.faultAfter(step, before, currentStartMs(harness)), undefined);
      t.true(harness.registry.ids.size <= 1);
    }
  });
  fc.assert(property, SEED);
});

test('after any steps, the entry and a response of the running incarnation restore it', (t) => {
  const property = fc.property(
    INCARNATION_STEPS,
    fc.integer({ min: 1, max: 5 }),
    (steps, startedAtMs) => {
      const harness = new EngineListHarness({ decoder: DECODER });
      for (const [index, step] of steps.entries()) applyStep(harness, step, index);
      fc.pre(currentStartMs(harness) !== undefined);
      applyStep(harness, { startedAtMs, source: 'entry' }, steps.length);
      applyStep(harness, { startedAtMs, source: 'response' }, steps.length);
      t.is(currentStartMs(harness), startedAtMs);
    },
  );
  fc.assert(property, SEED);
});

test('the acceptance of a load command by another incarnation is not applied', async (t) => {
  const harness = coordinatorHarness({
    startedAtMs: FIRST_MS,
    order: () => Promise.resolve({ kind: 'accepted', startedAtMs: SECOND_MS }),
  });
  while (harness.loadCommands.length === 0) await harness.clock.advance(10);
  const present = harness.registry.findByName(NAME);
  t.is(present?.record.startedAtMs, SECOND_MS);
  t.deepEqual([present?.observedVersions.size, present?.observedLoadCommands], [0, undefined]);
  t.is(harness.restarts.length, 1);
  t.deepEqual(harness.coordinator.loadAnnouncements, []);
  harness.coordinator.stop();
});

test('a response of a previous incarnation after the restart does not affect the new one', async (t) => {
  let respond: (result: { kind: 'accepted' }) => void = () => undefined;
  const harness = coordinatorHarness({
    startedAtMs: FIRST_MS,
    order: () => new Promise((resolve) => (respond = resolve)),
  });
  while (harness.loadCommands.length === 0) await harness.clock.advance(50);
  harness.incarnations.applyEntry(engineRecord(NAME, SECOND_MS));
  harness.coordinator.forgetIncarnation(incarnationOf(NAME, FIRST_MS));
  respond({ kind: 'accepted' });
  await harness.clock.advance(10);
  const present = harness.registry.findByName(NAME);
  t.is(present?.observedLoadCommands, undefined);
  t.is(present?.observedVersions.size, 0);
  harness.coordinator.stop();
});

test('the sequence number stated by another incarnation is not used for the queried one', async (t) => {
  const harness = coordinatorHarness({
    startedAtMs: SECOND_MS,
    state: () => ({ startedAtMs: FIRST_MS, orderSequence: 9 }),
  });
  await harness.clock.advance(1_200 + ANNOUNCEMENT_MS);
  t.deepEqual(harness.loadCommands, []);
  t.is(harness.registry.findByName(NAME)?.record.startedAtMs, SECOND_MS);
  harness.coordinator.stop();
});

test('a load command announced for a previous incarnation is not sent to its successor', async (t) => {
  const harness = coordinatorHarness({ startedAtMs: FIRST_MS });
  while (harness.announcedMs.length === 0) await harness.clock.advance(10);
  harness.incarnations.applyEntry(engineRecord(NAME, SECOND_MS, { modelVersions: new Map() }));
  await harness.clock.advance(ANNOUNCEMENT_MS + 50);
  t.deepEqual(harness.loadCommands, []);
  t.deepEqual(harness.coordinator.loadAnnouncements, []);
  harness.coordinator.stop();
});

test('an announcement by another router of a later incarnation replaces the current one', (t) => {
  const harness = coordinatorHarness({ startedAtMs: FIRST_MS });
  const announcement = { model: 'model-a', version: 2, isLoading: true, ageMs: 0 };
  harness.coordinator.receiveAnnouncement({
    ...announcement,
    engineId: incarnationOf(NAME, FIRST_MS - 1),
  });
  t.is(harness.registry.findByName(NAME)?.record.startedAtMs, FIRST_MS);
  harness.coordinator.receiveAnnouncement({
    ...announcement,
    engineId: incarnationOf(NAME, SECOND_MS),
  });
  t.is(harness.registry.findByName(NAME)?.record.startedAtMs, SECOND_MS);
  t.is(harness.restarts.length, 1);
  t.true(harness.health.isLoading(incarnationOf(NAME, SECOND_MS), harness.clock.now()));
  harness.coordinator.stop();
});
