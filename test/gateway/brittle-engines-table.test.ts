/** Guards against more rejections than brittle engines tolerate, in small groups and in large ones. */
import test from 'ava';
import { BrittleEngines, type BrittleEngineView } from '../../src/state/routing/brittle-engines.js';
import { isBrittle } from '../../src/state/routing/engine-eligibility.js';
import { EngineHealth } from '../../src/state/routing/engine-health.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { engineRecord } from '../helpers/engine-record.js';
import { SeededRandom, randomInteger } from '../../src/runtime/random.js';

const ENGINE = 'engine-1';
const WHOLE = { from: 0, to: 1 };

function viewOf(changes: Partial<BrittleEngineView> = {}): BrittleEngineView {
  const slotView = { wallMs: 0, interval: WHOLE };
  const service = { slots: 6, serviceSlots: 600 };
  return { engineName: ENGINE, ...service, slotView, ownRequests: 0, ...changes };
}

/** Intervals of a group of equal routers. */
function intervalsOf(routers: number) {
  return Array.from({ length: routers }, (_, index) => ({
    from: index / routers,
    to: (index + 1) / routers,
  }));
}

test('every slot of an engine belongs to exactly one router', (t) => {
  const engines = new BrittleEngines();
  for (const routers of [1, 3, 7, 195, 390]) {
    for (const slots of [1, 6, 48]) {
      const owned = intervalsOf(routers).map((interval) =>
        engines.ownSlots(viewOf({ slots, serviceSlots: 1e6, slotView: { wallMs: 0, interval } })),
      );
      t.is(
        owned.reduce((sum, count) => sum + count, 0),
        slots,
      );
    }
  }
});

test('a router sends no more requests to a brittle engine than it owns slots', (t) => {
  const engines = new BrittleEngines();
  engines.setTolerance(ENGINE, 6, 0);
  const slotView = { wallMs: 0, interval: { from: 0, to: 0.5 } };
  const own = engines.ownSlots(viewOf({ slotView }));
  t.is(own, 3);
  t.true(engines.roomAt(viewOf({ slotView, ownRequests: own - 1 }), 0) > 0);
  t.false(engines.roomAt(viewOf({ slotView, ownRequests: own }), 0) > 0);
});

test('a service is brittle while one of its engines states it', (t) => {
  const health = new EngineHealth();
  const registry = new EngineRegistry();
  for (const name of [ENGINE, 'engine-2']) registry.put(engineRecord(name, 1));
  const engines = registry.ofService('generation');
  t.false(isBrittle(engines, health));
  health.brittle.setTolerance(ENGINE, 6, 0);
  t.true(isBrittle(engines, health));
  t.true(health.brittle.recordNoTolerance(ENGINE, 10, 20));
  t.false(isBrittle(engines, health));
});

test('an engine pauses after a rejection, and longer after each further one within a second', (t) => {
  const engines = new BrittleEngines();
  t.false(engines.noteRejection(ENGINE, 0));
  engines.setTolerance(ENGINE, 6, 0);
  t.true(engines.noteRejection(ENGINE, 0));
  t.true(engines.pauseMs(ENGINE, 0) > 300);
  t.false(engines.roomAt(viewOf(), 300) > 0);
  t.true(engines.roomAt(viewOf(), 400) > 0);
  engines.noteRejection(ENGINE, 400);
  t.true(engines.pauseMs(ENGINE, 400) > 600);
  engines.noteRejection(ENGINE, 410);
  t.true(engines.pauseMs(ENGINE, 410) < 700);
});

test('a rejection at another router pauses the engine, once', (t) => {
  const engines = new BrittleEngines();
  const announcement = { engineName: ENGINE, tolerance: 6, ageMs: 20, rejectedAgeMs: 20 };
  t.true(engines.receive(announcement, 1_000));
  t.is(engines.roomAt(viewOf(), 1_000), 0);
  t.false(engines.receive({ ...announcement, rejectedAgeMs: 40 }, 1_020));
  t.deepEqual(engines.announcements(1_030), [
    { engineName: ENGINE, tolerance: 6, ageMs: 30, rejectedAgeMs: 50 },
  ]);
  t.deepEqual(engines.announcements(3_000), []);
});

test('a report holds few announcements, with the latest rejections first', (t) => {
  const engines = new BrittleEngines();
  for (let index = 0; index < 100; index += 1) engines.setTolerance(`engine-${index}`, 6, index);
  engines.noteRejection('engine-7', 150);
  const announcements = engines.announcements(200);
  t.is(announcements.length, 12);
  t.is(announcements[0]?.engineName, 'engine-7');
});

/** A router of the model. Others learn of its rejections, and of its requests, with a delay. */
interface ModelRouter {
  readonly engines: BrittleEngines;
  readonly interval: { readonly from: number; readonly to: number };
  readonly own: number[];
}

/** Load of a group of routers on brittle engines. */
interface ModelLoad {
  readonly routers: number;
  readonly engines: number;
  /** Arrivals as a multiple of what the engines can serve. */
  readonly load: number;
  readonly announcementDelayMs: number;
}

const SLOTS = 6;
const QUEUED = 1;
const SERVICE_MS = 43;
const TOLERANCE = 6;
const MODEL_MS = 20_000;
const WINDOW_MS = 1_000;
/** No kind of request may be served less than a quarter as often as others. Requests do not wait here. */
const MINIMUM_SERVED_SHARE = 0.25;

/** Plays arrivals every millisecond; returns the failures of engines and the share served. */
function playModel({ routers, engines, load, announcementDelayMs }: ModelLoad) {
  const random = new SeededRandom(11);
  const group: ModelRouter[] = intervalsOf(routers).map((interval) => {
    const known = new BrittleEngines();
    for (let engine = 0; engine < engines; engine += 1)
      known.setTolerance(`engine-${engine}`, TOLERANCE, 0);
    return { engines: known, interval, own: Array.from({ length: engines }, () => 0) };
  });
  const running = Array.from({ length: engines }, () => 0);
  const rejections: number[][] = Array.from({ length: engines }, () => []);
  const events = new Map<number, (() => void)[]>();
  const at = (ms: number, action: () => void): void => {
    events.set(ms, [...(events.get(ms) ?? []), action]);
  };
  let falls = 0;
  let served = 0;
  let offered = 0;
  const perMs = (load * engines * SLOTS) / SERVICE_MS;
  let due = 0;
  for (let now = 0; now < MODEL_MS; now += 1) {
    for (const action of events.get(now) ?? []) action();
    events.delete(now);
    for (due += perMs; due >= 1; due -= 1) {
      offered += 1;
      const router = group[randomInteger(random, routers)] as ModelRouter;
      const first = randomInteger(random, engines);
      const order = Array.from({ length: engines }, (_, step) => (first + step) % engines);
      const viewAt = (index: number): BrittleEngineView => ({
        engineName: `engine-${index}`,
        slots: SLOTS,
        serviceSlots: SLOTS * engines,
        ownRequests: router.own[index] as number,
        slotView: { wallMs: now, interval: router.interval },
      });
      const engine = order.find((index) => router.engines.roomAt(viewAt(index), now) > 0);
      if (engine === undefined) continue;
      router.engines.noteSend(viewAt(engine));
      if ((running[engine] as number) >= SLOTS + QUEUED) {
        const recent = (rejections[engine] as number[]).filter((ms) => ms > now - WINDOW_MS);
        rejections[engine] = [...recent, now];
        if (recent.length + 1 > TOLERANCE) {
          falls += 1;
          rejections[engine] = [];
        }
        const engineName = `engine-${engine}`;
        router.engines.noteRejection(engineName, now);
        const announcement = {
          engineName,
          tolerance: TOLERANCE,
          ageMs: 0,
          rejectedAgeMs: announcementDelayMs,
        };
        at(now + announcementDelayMs, () => {
          for (const other of group) other.engines.receive(announcement, now + announcementDelayMs);
        });
        continue;
      }
      served += 1;
      (running[engine] as number) += 1;
      (router.own[engine] as number) += 1;
      at(now + SERVICE_MS, () => {
        (running[engine] as number) -= 1;
        (router.own[engine] as number) -= 1;
        router.engines.noteServiceTime(`engine-${engine}`, SERVICE_MS);
      });
    }
  }
  return { falls, share: served / offered };
}

for (const load of [0.5, 0.9, 1.3]) {
  test(`a small group spares brittle engines at ${load} of their capacity`, (t) => {
    const model = { routers: 7, engines: 4, load, announcementDelayMs: 10 };
    const { falls, share } = playModel(model);
    t.log(falls, share);
    t.true(falls <= 2, `${falls} failures`);
    t.true(share > MINIMUM_SERVED_SHARE, `${share} served`);
  });

  test(`a large group spares brittle engines at ${load} of their capacity`, (t) => {
    const model = { routers: 195, engines: 22, load, announcementDelayMs: 160 };
    const { falls, share } = playModel(model);
    t.log(falls, share);
    t.true(falls <= 4, `${falls} failures`);
    t.true(share > MINIMUM_SERVED_SHARE, `${share} served`);
  });
}
