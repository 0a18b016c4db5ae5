/** Guards against crashes attributed to wrong requests and disconnects counted as crashes. */
import test from 'ava';
import {
  type EngineCrash,
  EngineCrashDetector,
  type LostRequest,
} from '../../src/coordination/gateway/engine-crash-detector.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { ListenerState } from '../../src/protocol/inference/port.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { incarnationOf } from '../../src/state/routing/engine-incarnation.js';
import { type EngineRecord, EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { fingerprintOf } from '../../src/state/routing/request-fingerprint.js';
import { listenerStates } from '../helpers/listener-states.js';
import { RequestBody } from '../../src/runtime/request-body.js';

const ENGINE = 'engine-0';
const RUN_DURATION_MS = 80;
const CHECK_DURATION_MS = 50;
/** All checks after a disconnect are done by then. */
const LAST_CHECK_MS = 1_000;

/**
 * A crash detector with one registered engine.
 *
 * @param states of the engine's listener at the first checks; the last one lasts
 */
function createDetectorHarness(states: ListenerState | ListenerState[], isDraining = false) {
  const nextState = listenerStates([states].flat());
  const clock = new VirtualClock();
  const registry = new EngineRegistry();
  const record: EngineRecord = {
    id: ENGINE,
    name: ENGINE,
    startedAtMs: undefined,
    service: 'generation',
    address: 'engine-0:1',
    zone: 'zone-a',
    slots: 8,
    isDraining,
    modelVersions: new Map(),
  };
  registry.put(record);
  const statistics = new GatewayStatistics();
  let checks = 0;
  const checkEngine = (): Promise<ListenerState> => {
    checks += 1;
    return nextState();
  };
  const crashes: Pick<EngineCrash, 'engineId' | 'fingerprints' | 'startingParts'>[] = [];
  const detector = new EngineCrashDetector(
    {
      registry,
      statistics,
      clock,
      logger: new NoopLogger(),
      checkEngine,
    },
    ({ engineId, fingerprints, startingParts }) =>
      crashes.push({ engineId, fingerprints, startingParts }),
  );
  return { clock, detector, crashes, record, registry, statistics, countChecks: () => checks };
}

function lostRequest(fingerprint: string, ranMs: number): LostRequest {
  return { fingerprint, startingParts: [], ranMs };
}

test('all requests that a crash interrupts are recorded after one refused connection', async (t) => {
  const { clock, detector, crashes, countChecks } = createDetectorHarness(ListenerState.Refused);
  for (const fingerprint of ['a', 'b', 'c'])
    detector.recordConnectionLoss(ENGINE, lostRequest(fingerprint, RUN_DURATION_MS));
  await clock.advance(CHECK_DURATION_MS);
  detector.recordConnectionLoss(ENGINE, lostRequest('late', RUN_DURATION_MS));
  t.is(countChecks(), 1);
  t.deepEqual(crashes, [
    { engineId: ENGINE, fingerprints: ['a', 'b', 'c'], startingParts: [] },
    { engineId: ENGINE, fingerprints: ['late'], startingParts: [] },
  ]);
});

for (const state of [ListenerState.Listening, ListenerState.Unresponsive]) {
  test(`a disconnect from an engine whose listener is ${state} is not a crash`, async (t) => {
    const { clock, detector, crashes } = createDetectorHarness(state);
    detector.recordConnectionLoss(ENGINE, lostRequest('a', RUN_DURATION_MS));
    await clock.advance(LAST_CHECK_MS);
    t.deepEqual(crashes, []);
  });

  test(`a crash is recorded although the listener is ${state} at the first check`, async (t) => {
    const states = [state, ListenerState.Refused];
    const { clock, detector, crashes } = createDetectorHarness(states);
    detector.recordConnectionLoss(ENGINE, lostRequest('a', RUN_DURATION_MS));
    await clock.advance(LAST_CHECK_MS);
    t.deepEqual(crashes, [{ engineId: ENGINE, fingerprints: ['a'], startingParts: [] }]);
  });
}

test('an engine that drains and exits after a disconnect has not crashed', async (t) => {
  const states = [ListenerState.Listening, ListenerState.Refused];
  const { clock, detector, crashes, record, registry } = createDetectorHarness(states);
  detector.recordConnectionLoss(ENGINE, lostRequest('a', RUN_DURATION_MS));
  await clock.advance(CHECK_DURATION_MS);
  registry.put({ ...record, isDraining: true });
  await clock.advance(LAST_CHECK_MS);
  t.deepEqual(crashes, []);
});

test('a disconnect from a draining or unlisted engine is not a crash', async (t) => {
  const { clock, detector, crashes, countChecks } = createDetectorHarness(
    ListenerState.Refused,
    true,
  );
  detector.recordConnectionLoss(ENGINE, lostRequest('a', RUN_DURATION_MS));
  detector.recordConnectionLoss('unlisted', lostRequest('a', RUN_DURATION_MS));
  await clock.advance(CHECK_DURATION_MS);
  t.deepEqual([crashes.length, countChecks()], [0, 0]);
});

test('a request whose connection broke before it could arrive is not recorded', async (t) => {
  const { clock, detector, crashes } = createDetectorHarness(ListenerState.Refused);
  detector.recordConnectionLoss(ENGINE, lostRequest('first-send', RUN_DURATION_MS));
  detector.recordConnectionLoss(ENGINE, lostRequest('retried-immediately', 0.2));
  await clock.advance(CHECK_DURATION_MS);
  t.deepEqual(crashes, [{ engineId: ENGINE, fingerprints: ['first-send'], startingParts: [] }]);
});

test('a restart before the check is recorded as a crash with the requests it interrupted', async (t) => {
  const { clock, detector, crashes, record } = createDetectorHarness(ListenerState.Listening);
  await clock.advance(5_000);
  detector.recordConnectionLoss(ENGINE, lostRequest('reset long before', RUN_DURATION_MS));
  await clock.advance(1_000);
  for (const fingerprint of ['a', 'b'])
    detector.recordConnectionLoss(ENGINE, lostRequest(fingerprint, RUN_DURATION_MS));
  await clock.advance(CHECK_DURATION_MS);
  t.deepEqual(crashes, []);
  const startedAtMs = clock.wallNow();
  await clock.advance(400);
  detector.handleRestart(record, startedAtMs);
  t.deepEqual(crashes, [{ engineId: ENGINE, fingerprints: ['a', 'b'], startingParts: [] }]);
});

test('a restart is recorded as a crash although the entry of the engine lapsed before', async (t) => {
  const startedAtMs = 1;
  const { clock, detector, crashes, record, registry } = createDetectorHarness(
    ListenerState.Unresponsive,
  );
  const previous = { ...record, id: incarnationOf(ENGINE, startedAtMs), startedAtMs };
  registry.remove(ENGINE);
  registry.put(previous);
  await clock.advance(1_000);
  detector.recordConnectionLoss(previous.id, lostRequest('a', RUN_DURATION_MS));
  await clock.advance(LAST_CHECK_MS);
  registry.remove(previous.id);
  const next = { ...record, startedAtMs: clock.wallNow() };
  detector.handleEntry(previous);
  t.deepEqual(crashes, []);
  detector.handleEntry(next);
  detector.handleEntry(next);
  t.deepEqual(crashes, [{ engineId: previous.id, fingerprints: ['a'], startingParts: [] }]);
});

test('sends that break at the address of a crashed engine do not hide the request before', async (t) => {
  const { clock, detector, crashes, record } = createDetectorHarness(ListenerState.Listening);
  await clock.advance(1_000);
  const sentLater = ['second', 'third', 'fourth', 'fifth', 'sixth'];
  const fingerprints = ['cause', ...sentLater];
  for (const fingerprint of fingerprints) {
    detector.recordConnectionLoss(ENGINE, lostRequest(fingerprint, RUN_DURATION_MS));
    await clock.advance(400);
  }
  await clock.advance(LAST_CHECK_MS);
  detector.handleRestart(record, clock.wallNow());
  t.deepEqual(crashes, [{ engineId: ENGINE, fingerprints, startingParts: [] }]);
});

test('a disconnect and the restart that follows count as one crash', async (t) => {
  const { clock, detector, crashes, record, statistics } = createDetectorHarness(
    ListenerState.Refused,
  );
  await clock.advance(1_000);
  detector.recordConnectionLoss(ENGINE, lostRequest('a', RUN_DURATION_MS));
  await clock.advance(CHECK_DURATION_MS);
  detector.handleRestart(record, clock.wallNow());
  t.deepEqual(crashes, [{ engineId: ENGINE, fingerprints: ['a'], startingParts: [] }]);
  t.is(statistics.engineCrashes, 1);
});

test('only requests sent before a restart are attributed to the previous incarnation', async (t) => {
  const { clock, detector, crashes, record } = createDetectorHarness(ListenerState.Listening);
  await clock.advance(1_000);
  const startedAtMs = clock.wallNow();
  await clock.advance(500);
  detector.handleRestart(record, startedAtMs);
  detector.recordConnectionLoss(ENGINE, lostRequest('sent to the new incarnation', 100));
  detector.recordConnectionLoss(ENGINE, lostRequest('sent before the restart', 700));
  await clock.advance(CHECK_DURATION_MS);
  t.deepEqual(crashes, [
    { engineId: ENGINE, fingerprints: ['sent before the restart'], startingParts: [] },
  ]);
});

test('the restart of a drained engine is not a crash', async (t) => {
  const { clock, detector, crashes, record, statistics } = createDetectorHarness(
    ListenerState.Listening,
    true,
  );
  await clock.advance(1_000);
  detector.handleRestart(record, clock.wallNow());
  t.deepEqual([crashes.length, statistics.engineCrashes], [0, 0]);
});

test('requests are identified by caller, host, method, path and body only', (t) => {
  const identity = {
    tenant: 'tenant-1',
    host: 'host.example',
    method: 'POST',
    path: '/stream/x',
    body: RequestBody.of(Buffer.from('prompt')),
  };
  const fingerprint = fingerprintOf(identity);
  const sameRequest = { ...identity, id: 'another attempt', target: '/stream/x?page=2' };
  t.is(fingerprintOf(sameRequest), fingerprint);
  const others = [
    { ...identity, tenant: 'tenant-2' },
    { ...identity, tenant: undefined },
    { ...identity, host: 'other.example' },
    { ...identity, method: 'PUT' },
    { ...identity, path: '/stream/y' },
    { ...identity, body: RequestBody.of(Buffer.from('prompt!')) },
    { ...identity, path: '/stream/xprompt', body: RequestBody.empty },
  ].map(fingerprintOf);
  t.is(new Set([fingerprint, ...others]).size, others.length + 1);
  t.regex(fingerprint, /^[0-9a-f]{32}$/);
});

// All engines of the only service fell together, and none of their crashes was held against the request.
test('an engine that refuses connections as all others do has crashed once its entry lapses', async (t) => {
  const { clock, detector, crashes, record, registry } = createDetectorHarness(
    ListenerState.RefusedUnverified,
  );
  detector.recordConnectionLoss(ENGINE, lostRequest('a', RUN_DURATION_MS));
  await clock.advance(LAST_CHECK_MS);
  t.deepEqual(crashes, []);
  registry.remove(ENGINE);
  detector.handleLapse(record);
  detector.handleLapse(record);
  t.deepEqual(crashes, [{ engineId: ENGINE, fingerprints: ['a'], startingParts: [] }]);
});

test('an engine that refuses connections as all others do has crashed once another one has its address', async (t) => {
  const { clock, detector, crashes, record } = createDetectorHarness(
    ListenerState.RefusedUnverified,
  );
  detector.recordConnectionLoss(ENGINE, lostRequest('a', RUN_DURATION_MS));
  await clock.advance(LAST_CHECK_MS);
  detector.handleEntry({ ...record, id: 'engine-1', name: 'engine-1', address: 'engine-1:1' });
  t.deepEqual(crashes, []);
  detector.handleEntry({ ...record, id: 'engine-2', name: 'engine-2' });
  detector.handleLapse(record);
  t.deepEqual(crashes, [{ engineId: ENGINE, fingerprints: ['a'], startingParts: [] }]);
});

// A router whose own path is interrupted takes no engine for crashed, and an engine may leave in silence.
for (const state of [ListenerState.Listening, ListenerState.Unresponsive]) {
  test(`an engine whose listener is ${state} has not crashed as its entry lapses`, async (t) => {
    const { clock, detector, crashes, record } = createDetectorHarness(state);
    detector.recordConnectionLoss(ENGINE, lostRequest('a', RUN_DURATION_MS));
    await clock.advance(LAST_CHECK_MS);
    detector.handleLapse(record);
    t.deepEqual(crashes, []);
  });
}

test('an engine that drains before its entry lapses has not crashed', async (t) => {
  const { clock, detector, crashes, record } = createDetectorHarness(
    ListenerState.RefusedUnverified,
  );
  detector.recordConnectionLoss(ENGINE, lostRequest('a', RUN_DURATION_MS));
  await clock.advance(LAST_CHECK_MS);
  detector.handleLapse({ ...record, isDraining: true });
  detector.handleLapse(record);
  t.deepEqual(crashes, []);
});

test('the entry of an engine that lapses long after a lost connection shows no crash', async (t) => {
  const { clock, detector, crashes, record } = createDetectorHarness(
    ListenerState.RefusedUnverified,
  );
  detector.recordConnectionLoss(ENGINE, lostRequest('a', RUN_DURATION_MS));
  await clock.advance(60_000);
  detector.handleLapse(record);
  t.deepEqual(crashes, []);
});
