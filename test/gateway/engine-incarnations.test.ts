/** An engine that starts again under its name: nothing of its former life is taken for the new one. */
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

/** An entry as the simulated store holds it. */
function entryOf(record: EngineRecord, revision: number): StoredObject {
  const spec = { ...record, modelVersions: [...record.modelVersions] };
  return { name: record.name, position: positionAt(revision), spec };
}

function listWorld(): EngineListHarness {
  const world = new EngineListHarness({ decoder: DECODER });
  world.list.takeAll([entryOf(engineRecord(NAME, FIRST_MS), 5)]);
  return world;
}

function presentBorn({ registry }: EngineListHarness): number | undefined {
  return registry.findByName(NAME)?.record.bornMs;
}

test('an incarnation names its life, with or without a start', (t) => {
  const name = fc.string({ minLength: 1 }).filter((text) => !/@\d{1,16}$/.test(text));
  const start = fc.option(fc.nat(), { nil: undefined });
  const property = fc.property(name, start, (text, bornMs) => {
    t.deepEqual(parseIncarnation(incarnationOf(text, bornMs)), { name: text, bornMs });
  });
  fc.assert(property, SEED);
});

test('a later life takes the place of the former one, and knows nothing of it', (t) => {
  const world = listWorld();
  const former = world.registry.findByName(NAME);
  former?.observedVersions.set('model-a', 7);
  if (former) former.observedOrders = 3;
  world.list.take(entryOf(engineRecord(NAME, SECOND_MS), 6));
  const present = world.registry.findByName(NAME);
  t.is(present?.record.id, incarnationOf(NAME, SECOND_MS));
  t.is(present?.observedVersions.size, 0);
  t.is(present?.observedOrders, undefined);
  t.is(world.registry.ids.size, 1);
  t.deepEqual(
    world.rebirths.map(({ former: { bornMs: formerMs }, bornMs }) => [formerMs, bornMs]),
    [[FIRST_MS, SECOND_MS]],
  );
  t.like(world.log.of('engine_reborn'), [{ old_born_ms: FIRST_MS, new_born_ms: SECOND_MS }]);
});

test('the entry of a former life that comes late, or again, changes nothing', (t) => {
  const world = listWorld();
  world.list.take(entryOf(engineRecord(NAME, SECOND_MS), 6));
  world.list.take(entryOf(engineRecord(NAME, FIRST_MS), 5));
  world.list.take(entryOf(engineRecord(NAME, FIRST_MS), 7));
  t.is(presentBorn(world), SECOND_MS);
  t.is(world.rebirths.length, 1);
});

test('an entry with an earlier start that the store took later is the present life', (t) => {
  const world = listWorld();
  const STEPPED_BACK_MS = FIRST_MS - 500;
  world.list.take(entryOf(engineRecord(NAME, STEPPED_BACK_MS), 6));
  t.is(presentBorn(world), STEPPED_BACK_MS);
  // No proof that the one known before is over: its connections and the next entry show that.
  t.is(world.rebirths.length, 0);
  world.list.take(entryOf(engineRecord(NAME, FIRST_MS), 7));
  t.is(presentBorn(world), FIRST_MS);
  world.list.take(entryOf(engineRecord(NAME, STEPPED_BACK_MS), 8));
  t.is(presentBorn(world), FIRST_MS);
});

test('an answer of a later life ends the former one at once, an answer of an earlier one does not', (t) => {
  const world = listWorld();
  const { record } = world.registry.findByName(NAME) ?? t.fail() ?? {};
  if (!record) return;
  t.true(world.lives.takeAnswer(record, FIRST_MS, 'report'));
  t.true(world.lives.takeAnswer(record, undefined, 'report'));
  t.false(world.lives.takeAnswer(record, FIRST_MS - 1, 'report'));
  t.is(presentBorn(world), FIRST_MS);
  t.false(world.lives.takeAnswer(record, SECOND_MS, 'report'));
  t.is(presentBorn(world), SECOND_MS);
  world.list.take(entryOf(record, 9));
  t.is(presentBorn(world), SECOND_MS);
});

test('until its entry comes a later life serves where the former one did, with what that had loaded', (t) => {
  const world = listWorld();
  const former = world.registry.findByName(NAME);
  former?.observedVersions.set('model-a', 7);
  if (former) former.observedOrders = 3;
  world.lives.takeAnswerOf(incarnationOf(NAME, FIRST_MS), SECOND_MS, 'cache-events');
  const [present] = world.registry.readyOf('generation');
  t.like(present?.record, { name: NAME, bornMs: SECOND_MS, address: `${NAME}:1` });
  t.is(present?.record.modelVersions.get('model-a'), 7);
  t.deepEqual([present?.observedVersions.size, present?.observedOrders], [0, undefined]);
  // Its own entry is what counts, also where that says less.
  world.list.take(entryOf(engineRecord(NAME, SECOND_MS), 6));
  t.is(world.registry.findByName(NAME)?.record.modelVersions.get('model-a'), 1);
});

test('a life that drained is not taken to serve on in the next before that is listed', (t) => {
  const world = listWorld();
  world.list.take(entryOf(engineRecord(NAME, FIRST_MS, { isDraining: true }), 6));
  world.lives.takeAnswerOf(incarnationOf(NAME, FIRST_MS), SECOND_MS, 'report');
  t.is(presentBorn(world), undefined);
});

test('the removal of an entry ends only the life that it meant', async (t) => {
  const world = listWorld();
  world.list.noteFailure();
  world.list.takeGone(NAME, positionAt(5));
  world.list.take(entryOf(engineRecord(NAME, SECOND_MS), 6));
  await world.clock.advance(5_000);
  t.is(presentBorn(world), SECOND_MS);
  world.list.takeGone(NAME, positionAt(5));
  t.is(presentBorn(world), SECOND_MS);
  world.list.takeGone(NAME, positionAt(6));
  t.is(presentBorn(world), undefined);
});

test('a life that drained takes no work again; the one that follows does', (t) => {
  const world = listWorld();
  world.list.take(entryOf(engineRecord(NAME, FIRST_MS, { isDraining: true }), 6));
  world.list.take(entryOf(engineRecord(NAME, FIRST_MS), 7));
  t.deepEqual(world.registry.readyOf('generation'), []);
  world.list.take(entryOf(engineRecord(NAME, SECOND_MS), 8));
  t.is(world.registry.readyOf('generation').length, 1);
});

test('a life that was shown before the entry of one with a later start is taken when its own entry comes', (t) => {
  const world = listWorld();
  // The store took SECOND before STEPPED_BACK; the answer overtook both entries.
  const STEPPED_BACK_MS = SECOND_MS - 4_000;
  world.lives.takeAnswerOf(incarnationOf(NAME, FIRST_MS), STEPPED_BACK_MS, 'cache-events');
  world.list.take(entryOf(engineRecord(NAME, SECOND_MS), 6));
  t.is(presentBorn(world), SECOND_MS);
  world.list.take(entryOf(engineRecord(NAME, STEPPED_BACK_MS), 7));
  t.is(presentBorn(world), STEPPED_BACK_MS);
  world.list.take(entryOf(engineRecord(NAME, SECOND_MS), 6));
  t.is(presentBorn(world), STEPPED_BACK_MS);
});

test('news of a life that an entry has followed change nothing', (t) => {
  const world = listWorld();
  const STEPPED_BACK_MS = FIRST_MS - 500;
  world.list.take(entryOf(engineRecord(NAME, STEPPED_BACK_MS), 6));
  world.lives.noteIncarnation(incarnationOf(NAME, FIRST_MS));
  t.is(presentBorn(world), STEPPED_BACK_MS);
  t.is(world.rebirths.length, 0);
});

for (const source of ['entry', 'answer'] as const) {
  test(`news end no life for good: its next ${source} brings it back with what was known of it`, (t) => {
    const world = listWorld();
    world.registry.findByName(NAME)?.observedVersions.set('model-a', 7);
    world.lives.noteIncarnation(incarnationOf(NAME, SECOND_MS));
    t.is(presentBorn(world), SECOND_MS);
    if (source === 'entry') world.list.take(entryOf(engineRecord(NAME, FIRST_MS), 6));
    else world.lives.takeAnswerOf(incarnationOf(NAME, SECOND_MS), FIRST_MS, 'report');
    t.is(presentBorn(world), FIRST_MS);
    const listed = source === 'entry' ? 1 : 7;
    t.is(world.registry.findByName(NAME)?.record.modelVersions.get('model-a'), listed);
    world.lives.noteIncarnation(incarnationOf(NAME, SECOND_MS));
    t.is(presentBorn(world), FIRST_MS);
  });
}

test('a guess of a life ends with the answer of any other, also of an earlier start', (t) => {
  const world = listWorld();
  const STEPPED_BACK_MS = FIRST_MS - 500;
  world.lives.noteIncarnation(incarnationOf(NAME, SECOND_MS));
  t.false(
    world.lives.takeAnswerOf(incarnationOf(NAME, SECOND_MS), STEPPED_BACK_MS, 'cache-events'),
  );
  t.is(presentBorn(world), STEPPED_BACK_MS);
});

test('an answer to a call that was addressed to a former life does not end the one in the list for good', (t) => {
  const world = listWorld();
  const STEPPED_BACK_MS = FIRST_MS + 500;
  world.list.take(entryOf(engineRecord(NAME, STEPPED_BACK_MS), 6));
  world.lives.takeAnswerOf(incarnationOf(NAME, FIRST_MS), SECOND_MS, 'report');
  world.list.take(entryOf(engineRecord(NAME, STEPPED_BACK_MS), 7));
  t.is(presentBorn(world), STEPPED_BACK_MS);
});

test('a life that drained takes no work again after news of another have come and gone', (t) => {
  const world = listWorld();
  world.list.take(entryOf(engineRecord(NAME, FIRST_MS, { isDraining: true }), 6));
  world.lives.noteIncarnation(incarnationOf(NAME, SECOND_MS));
  t.is(presentBorn(world), undefined);
  world.list.take(entryOf(engineRecord(NAME, FIRST_MS), 7));
  t.deepEqual(world.registry.readyOf('generation'), []);
});

interface LifeStep {
  readonly bornMs: number;
  readonly source: 'entry' | 'answer' | 'news' | 'gone';
}

const LIFE_STEPS = fc.array(
  fc.record<LifeStep>({
    bornMs: fc.integer({ min: 1, max: 5 }),
    source: fc.constantFrom('entry', 'answer', 'news', 'gone'),
  }),
  { maxLength: 30 },
);

/** Shows the list a life; answers are to calls that were addressed to the life in the list. */
function show(world: EngineListHarness, { bornMs, source }: LifeStep, revision: number): void {
  if (source === 'entry') world.list.take(entryOf(engineRecord(NAME, bornMs), revision));
  else if (source === 'gone') world.list.takeGone(NAME, positionAt(revision));
  else if (source === 'news') world.lives.noteIncarnation(incarnationOf(NAME, bornMs));
  else world.lives.takeAnswerOf(incarnationOf(NAME, presentBorn(world) ?? 0), bornMs, 'report');
}

/** Follows which lives are over, by what showed them. */
class LifeOracle {
  private readonly over = new Set<number>();
  private readonly listed = new Set<number>();
  private readonly seen = new Set<number>();

  /** What is wrong after a step that changed the life in the list; undefined where nothing is. */
  faultAfter(step: LifeStep, before: number | undefined, present: number | undefined) {
    const { bornMs, source } = step;
    if (present === bornMs) this.noteShown(step, before);
    const isChanged = present !== before;
    // The store's order decides wherever a life is not over, and news show nothing but new lives.
    const wanted = this.over.has(bornMs) ? before : bornMs;
    if (source === 'entry' && present !== wanted) return 'entry without effect';
    if (source === 'news' && isChanged && this.seen.has(bornMs)) return 'life back by news';
    if (present === undefined) return undefined;
    this.seen.add(present);
    return this.over.has(present) ? 'life back that is over' : undefined;
  }

  private noteShown({ bornMs, source }: LifeStep, before: number | undefined): void {
    if (source === 'answer') this.over.delete(bornMs);
    const isFollowed = before !== undefined && bornMs > before;
    const isOver = source === 'answer' || (source === 'entry' && this.listed.has(before ?? 0));
    if (isFollowed && isOver) this.over.add(before);
    if (source === 'entry') this.listed.add(bornMs);
  }
}

test('in whatever order entries and answers come, only its own answer returns a life that a later one has followed', (t) => {
  const property = fc.property(LIFE_STEPS, (steps) => {
    const world = new EngineListHarness({ decoder: DECODER });
    const oracle = new LifeOracle();
    for (const [index, step] of steps.entries()) {
      const before = presentBorn(world);
      show(world, step, index);
      t.is(oracle.faultAfter(step, before, presentBorn(world)), undefined);
      t.true(world.registry.ids.size <= 1);
    }
  });
  fc.assert(property, SEED);
});

test('whatever was heard before, the entry and an answer of the engine that lives bring it back', (t) => {
  const property = fc.property(LIFE_STEPS, fc.integer({ min: 1, max: 5 }), (steps, bornMs) => {
    const world = new EngineListHarness({ decoder: DECODER });
    for (const [index, step] of steps.entries()) show(world, step, index);
    fc.pre(presentBorn(world) !== undefined);
    show(world, { bornMs, source: 'entry' }, steps.length);
    show(world, { bornMs, source: 'answer' }, steps.length);
    t.is(presentBorn(world), bornMs);
  });
  fc.assert(property, SEED);
});

test('an order that another life took is not believed', async (t) => {
  const world = coordinatorHarness({
    bornMs: FIRST_MS,
    order: () => Promise.resolve({ kind: 'accepted', bornMs: SECOND_MS }),
  });
  while (world.orders.length === 0) await world.clock.advance(10);
  const present = world.registry.findByName(NAME);
  t.is(present?.record.bornMs, SECOND_MS);
  t.deepEqual([present?.observedVersions.size, present?.observedOrders], [0, undefined]);
  t.is(world.rebirths.length, 1);
  t.deepEqual(world.coordinator.news, []);
  world.coordinator.stop();
});

test('the answer of a former life that comes after the rebirth changes nothing at the new one', async (t) => {
  let answer: (result: { kind: 'accepted' }) => void = () => undefined;
  const world = coordinatorHarness({
    bornMs: FIRST_MS,
    order: () => new Promise((resolve) => (answer = resolve)),
  });
  while (world.orders.length === 0) await world.clock.advance(50);
  world.lives.takeEntry(engineRecord(NAME, SECOND_MS));
  world.coordinator.forgetLife(incarnationOf(NAME, FIRST_MS));
  answer({ kind: 'accepted' });
  await world.clock.advance(10);
  const present = world.registry.findByName(NAME);
  t.is(present?.observedOrders, undefined);
  t.is(present?.observedVersions.size, 0);
  world.coordinator.stop();
});

test('the number of orders that another life states is not used for the one that was asked', async (t) => {
  const world = coordinatorHarness({
    bornMs: SECOND_MS,
    state: () => ({ bornMs: FIRST_MS, orderSequence: 9 }),
  });
  await world.clock.advance(1_200 + ANNOUNCEMENT_MS);
  t.deepEqual(world.orders, []);
  t.is(world.registry.findByName(NAME)?.record.bornMs, SECOND_MS);
  world.coordinator.stop();
});

test('an order that was announced to a former life is not given to the one that followed', async (t) => {
  const world = coordinatorHarness({ bornMs: FIRST_MS });
  while (world.announcedMs.length === 0) await world.clock.advance(10);
  world.lives.takeEntry(engineRecord(NAME, SECOND_MS, { modelVersions: new Map() }));
  await world.clock.advance(ANNOUNCEMENT_MS + 50);
  t.deepEqual(world.orders, []);
  t.deepEqual(world.coordinator.news, []);
  world.coordinator.stop();
});

test('news of a later life that another router passes on end the former one', (t) => {
  const world = coordinatorHarness({ bornMs: FIRST_MS });
  const news = { model: 'model-a', version: 2, isLoading: true, ageMs: 0 };
  world.coordinator.receiveNews({ ...news, engineId: incarnationOf(NAME, FIRST_MS - 1) });
  t.is(world.registry.findByName(NAME)?.record.bornMs, FIRST_MS);
  world.coordinator.receiveNews({ ...news, engineId: incarnationOf(NAME, SECOND_MS) });
  t.is(world.registry.findByName(NAME)?.record.bornMs, SECOND_MS);
  t.is(world.rebirths.length, 1);
  t.true(world.health.isLoading(incarnationOf(NAME, SECOND_MS), world.clock.now()));
  world.coordinator.stop();
});
