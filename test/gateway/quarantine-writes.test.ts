/**
 * Quarantined requests must be written to the store, removed from it and counted exactly as needed.
 */
import test from 'ava';
import { CrashProtection } from '../../src/coordination/gateway/crash-protection.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { SimulatedObjectStore } from '../../src/lab/gateway-simulation/simulated-object-store.js';
import { SimulatedStorePort } from '../../src/lab/gateway-simulation/simulated-store-port.js';
import { ListenerState } from '../../src/protocol/inference/port.js';
import { HostClock } from '../../src/lab/simulation/host-clock.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';

const KIND = 'quarantine';
const REQUEST = 'a'.repeat(32);
const STEP_MS = 100;
/** Long enough for crashes to prove that the request is their cause. */
const CRASH_INTERVAL_MS = 700;
/** Longer than the longest period between two lists of the store. */
const LIST_MS = 40_000;

/** One router's crash protection with a simulated store. */
class ProtectionHarness {
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
      partPolicy: undefined,
      kind: KIND,
      store: counting,
      registry: new EngineRegistry(),
      statistics: this.statistics,
      clock: host,
      random: new SeededRandom(1),
      logger: new NoopLogger(),
      announce: () => undefined,
      checkEngine: () => Promise.resolve(ListenerState.Unresponsive),
      endCalls: () => undefined,
    });
    this.protection.start();
  }

  async crash(engines: number): Promise<void> {
    for (let engine = 0; engine < engines; engine += 1) {
      const engineId = `engine-${engine}`;
      this.protection.guard.noteCrash({ engineId, fingerprints: [REQUEST] });
      await this.clock.advance(CRASH_INTERVAL_MS);
    }
  }
}

test('the completion of a request that was only suspected makes no call to the store', async (t) => {
  const harness = new ProtectionHarness();
  await harness.crash(2);
  harness.protection.guard.recordSuccess(REQUEST);
  await harness.clock.advance(STEP_MS);
  t.deepEqual(harness.removed, []);
  t.is(harness.statistics.suspicionsCleared, 1);
  t.is(harness.statistics.quarantineLifted, 0);
});

test('a lifted quarantine is removed from the store and counted', async (t) => {
  const harness = new ProtectionHarness();
  await harness.crash(3);
  t.is(harness.store.all(KIND).length, 1);
  harness.protection.guard.recordSuccess(REQUEST);
  await harness.clock.advance(STEP_MS);
  t.deepEqual(harness.store.all(KIND), []);
  t.is(harness.statistics.quarantineLifted, 1);
  t.is(harness.statistics.suspicionsCleared, 0);
});

test('an outdated object of a completed request is removed by a router that only suspected the request', async (t) => {
  const harness = new ProtectionHarness();
  await harness.crash(2);
  const quarantinedAtMs = harness.clock.wallNow();
  await harness.clock.advance(STEP_MS);
  harness.protection.guard.recordSuccess(REQUEST);
  const record = { tenant: '', route: '', path: '', engines: [], quarantinedAtMs };
  harness.store.put(KIND, REQUEST, record);
  await harness.clock.advance(LIST_MS);
  t.deepEqual(harness.store.all(KIND), []);
  t.false(harness.protection.guard.isQuarantined(REQUEST));
});

test('a request that another router cleared is not added to the store', async (t) => {
  const harness = new ProtectionHarness();
  harness.store.isDown = true;
  await harness.crash(3);
  const clearance = { fingerprint: REQUEST, isCleared: true, ageMs: 0 };
  harness.protection.guard.receive({ crashes: [], quarantine: [clearance] }, false);
  harness.store.isDown = false;
  await harness.clock.advance(LIST_MS);
  t.deepEqual(harness.store.all(KIND), []);
  t.deepEqual(harness.removed, []);
});

test('a quarantine missing from a restored store stays in force and is added again', async (t) => {
  const harness = new ProtectionHarness();
  await harness.clock.advance(STEP_MS);
  const copiedMs = harness.clock.now();
  await harness.clock.advance(STEP_MS);
  await harness.crash(3);
  await harness.clock.advance(LIST_MS);
  t.is(harness.store.all(KIND).length, 1);
  harness.store.restore(copiedMs);
  t.is(harness.store.all(KIND).length, 0);
  await harness.clock.advance(LIST_MS);
  t.true(harness.protection.guard.isQuarantined(REQUEST));
  t.is(harness.store.all(KIND).length, 1);
});

// Its record would outlive all routers, and a trial is likely to lift it within seconds.
test('a provisional quarantine is written to the store once it is confirmed', async (t) => {
  const harness = new ProtectionHarness();
  const { guard } = harness.protection;
  const sentMs = [harness.clock.now()];
  await harness.clock.advance(STEP_MS);
  for (const engineId of ['engine-0', 'engine-1', 'engine-2'])
    guard.noteCrash({ engineId, fingerprints: [REQUEST], sentMs });
  await harness.clock.advance(LIST_MS);
  t.true(guard.isQuarantined(REQUEST));
  t.deepEqual(harness.store.all(KIND), []);
  t.true(guard.tryBeginTrial(REQUEST));
  guard.noteCrash({
    engineId: 'engine-3',
    fingerprints: [REQUEST],
    sentMs: [harness.clock.now()],
  });
  await harness.clock.advance(CRASH_INTERVAL_MS);
  t.is(harness.store.all(KIND).length, 1);
});
