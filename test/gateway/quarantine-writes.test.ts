/** What the store is asked for requests that crash engines, and what the counters show of it. */
import test from 'ava';
import { CrashProtection } from '../../src/coordination/gateway/crash-protection.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { SimulatedFleet } from '../../src/lab/gateway-simulation/simulated-fleet.js';
import { SimulatedInference } from '../../src/lab/gateway-simulation/simulated-inference.js';
import { EngineObservations } from '../../src/lab/gateway-simulation/simulated-engine.js';
import { SimulatedObjectStore } from '../../src/lab/gateway-simulation/simulated-object-store.js';
import { SimulatedStorePort } from '../../src/lab/gateway-simulation/simulated-store-port.js';
import { HostClock } from '../../src/lab/simulation/host-clock.js';
import { SilentLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';

const KIND = 'quarantine';
const REQUEST = 'a'.repeat(32);
const STEP_MS = 100;
/** The store is read each 30 to 39 s. */
const LIST_MS = 40_000;

/** One router's protection before a store. */
class ProtectionWorld {
  readonly clock = new VirtualClock();
  readonly store = new SimulatedObjectStore(this.clock);
  readonly statistics = new GatewayStatistics();
  readonly removed: string[] = [];
  readonly protection: CrashProtection;

  constructor() {
    const host = new HostClock(this.clock);
    const port = new SimulatedStorePort(this.store, 'router', host);
    const counting = Object.create(port) as SimulatedStorePort;
    counting.remove = (kind, name) => {
      this.removed.push(name);
      return port.remove(kind, name);
    };
    this.protection = new CrashProtection({
      policy: undefined,
      kind: KIND,
      store: counting,
      engines: new SimulatedInference(
        new SimulatedFleet(this.clock, this.store, () => undefined),
        new EngineObservations(),
        this.clock,
        host,
        'router',
      ),
      registry: new EngineRegistry(),
      statistics: this.statistics,
      clock: host,
      random: new SeededRandom(1),
      logger: new SilentLogger(),
      announce: () => undefined,
      endCalls: () => undefined,
    });
    this.protection.start();
  }

  async crash(engines: number): Promise<void> {
    for (let engine = 0; engine < engines; engine += 1) {
      const engineId = `engine-${engine}`;
      this.protection.guard.noteCrash({ engineId, fingerprints: [REQUEST] });
      await this.clock.advance(STEP_MS);
    }
  }
}

test('the good end of a request that was only suspected costs no call to the store', async (t) => {
  const world = new ProtectionWorld();
  await world.crash(2);
  world.protection.guard.noteGoodEnd(REQUEST);
  await world.clock.advance(STEP_MS);
  t.deepEqual(world.removed, []);
  t.is(world.statistics.suspicionsCleared, 1);
  t.is(world.statistics.quarantineLifted, 0);
});

test('a quarantine that is lifted is removed from the store and counted', async (t) => {
  const world = new ProtectionWorld();
  await world.crash(3);
  t.is(world.store.all(KIND).length, 1);
  world.protection.guard.noteGoodEnd(REQUEST);
  await world.clock.advance(STEP_MS);
  t.deepEqual(world.store.all(KIND), []);
  t.is(world.statistics.quarantineLifted, 1);
  t.is(world.statistics.suspicionsCleared, 0);
});

test('an object that a good end has overtaken is removed by a router that knew only of a suspicion', async (t) => {
  const world = new ProtectionWorld();
  await world.crash(2);
  const quarantinedAtMs = world.clock.wallNow();
  await world.clock.advance(STEP_MS);
  world.protection.guard.noteGoodEnd(REQUEST);
  const record = { tenant: '', route: '', path: '', engines: [], quarantinedAtMs };
  world.store.put(KIND, REQUEST, record);
  await world.clock.advance(LIST_MS);
  t.deepEqual(world.store.all(KIND), []);
  t.false(world.protection.guard.isQuarantined(REQUEST));
});

test('a request that another router clears is not entered any more', async (t) => {
  const world = new ProtectionWorld();
  world.store.isDown = true;
  await world.crash(3);
  const clearance = { fingerprint: REQUEST, isCleared: true, ageMs: 0 };
  world.protection.guard.receive({ crashes: [], quarantine: [clearance] }, false);
  world.store.isDown = false;
  await world.clock.advance(LIST_MS);
  t.deepEqual(world.store.all(KIND), []);
  t.deepEqual(world.removed, []);
});

test('a quarantine that a restored store has lost stays, and is entered again', async (t) => {
  const world = new ProtectionWorld();
  await world.clock.advance(STEP_MS);
  const copiedMs = world.clock.now();
  await world.clock.advance(STEP_MS);
  await world.crash(3);
  await world.clock.advance(LIST_MS);
  t.is(world.store.all(KIND).length, 1);
  world.store.restore(copiedMs);
  t.is(world.store.all(KIND).length, 0);
  await world.clock.advance(LIST_MS);
  t.true(world.protection.guard.isQuarantined(REQUEST));
  t.is(world.store.all(KIND).length, 1);
});
