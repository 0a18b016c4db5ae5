/** Which requests are noted as broken by an engine that crashed, and which breaks are no crash. */
import test from 'ava';
import {
  type EngineCrash,
  EngineCrashDetector,
} from '../../src/coordination/gateway/engine-crash-detector.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { type InferencePort, ListenerState } from '../../src/protocol/inference/port.js';
import { SilentLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { type EngineRecord, EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { fingerprintOf } from '../../src/state/routing/request-fingerprint.js';

const ENGINE = 'engine-0';
const RAN_MS = 80;
const CHECK_MS = 50;

/** A router that knows one engine, at whose address the listener is in a chosen state. */
function detectorWorld(state: ListenerState, isDraining = false) {
  const clock = new VirtualClock();
  const registry = new EngineRegistry();
  const record: EngineRecord = {
    id: ENGINE,
    name: ENGINE,
    bornMs: undefined,
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
  const engines = {
    checkListener: () => {
      checks += 1;
      return Promise.resolve(state);
    },
  };
  const crashes: EngineCrash[] = [];
  const detector = new EngineCrashDetector(
    {
      engines: engines as unknown as InferencePort,
      registry,
      statistics,
      clock,
      logger: new SilentLogger(),
    },
    (crash) => crashes.push(crash),
  );
  return { clock, detector, crashes, record, statistics, countChecks: () => checks };
}

test('all requests that break with an engine that refuses connections are noted, after one check', async (t) => {
  const { clock, detector, crashes, countChecks } = detectorWorld(ListenerState.Refused);
  for (const fingerprint of ['a', 'b', 'c']) detector.noteBreak(ENGINE, fingerprint, RAN_MS);
  await clock.advance(CHECK_MS);
  detector.noteBreak(ENGINE, 'late', RAN_MS);
  t.is(countChecks(), 1);
  t.deepEqual(crashes, [
    { engineId: ENGINE, fingerprints: ['a', 'b', 'c'] },
    { engineId: ENGINE, fingerprints: ['late'] },
  ]);
});

for (const state of [ListenerState.Listening, ListenerState.Silent]) {
  test(`a connection that breaks at an engine whose address is ${state} is no crash`, async (t) => {
    const { clock, detector, crashes } = detectorWorld(state);
    detector.noteBreak(ENGINE, 'a', RAN_MS);
    await clock.advance(CHECK_MS);
    t.deepEqual(crashes, []);
  });
}

test('an engine that drains or is not listed may end without having crashed', async (t) => {
  const { clock, detector, crashes, countChecks } = detectorWorld(ListenerState.Refused, true);
  detector.noteBreak(ENGINE, 'a', RAN_MS);
  detector.noteBreak('unlisted', 'a', RAN_MS);
  await clock.advance(CHECK_MS);
  t.deepEqual([crashes.length, countChecks()], [0, 0]);
});

test('a request whose connection was gone before it could arrive is not noted', async (t) => {
  const { clock, detector, crashes } = detectorWorld(ListenerState.Refused);
  detector.noteBreak(ENGINE, 'first-send', RAN_MS);
  detector.noteBreak(ENGINE, 'repeated-in-the-same-moment', 0.2);
  await clock.advance(CHECK_MS);
  t.deepEqual(crashes, [{ engineId: ENGINE, fingerprints: ['first-send'] }]);
});

test('an engine that starts again before it is checked has crashed under what broke with it', async (t) => {
  const { clock, detector, crashes, record } = detectorWorld(ListenerState.Listening);
  await clock.advance(5_000);
  detector.noteBreak(ENGINE, 'reset long before', RAN_MS);
  await clock.advance(1_000);
  for (const fingerprint of ['a', 'b']) detector.noteBreak(ENGINE, fingerprint, RAN_MS);
  await clock.advance(CHECK_MS);
  t.deepEqual(crashes, []);
  const bornMs = clock.wallNow();
  await clock.advance(400);
  detector.noteReborn(record, bornMs);
  t.deepEqual(crashes, [{ engineId: ENGINE, fingerprints: ['a', 'b'] }]);
});

test('a break and the rebirth that follows count as one crash', async (t) => {
  const { clock, detector, crashes, record, statistics } = detectorWorld(ListenerState.Refused);
  await clock.advance(1_000);
  detector.noteBreak(ENGINE, 'a', RAN_MS);
  await clock.advance(CHECK_MS);
  detector.noteReborn(record, clock.wallNow());
  t.deepEqual(crashes, [{ engineId: ENGINE, fingerprints: ['a'] }]);
  t.is(statistics.engineCrashes, 1);
});

test('after a rebirth only what was sent before it breaks with the former life', async (t) => {
  const { clock, detector, crashes, record } = detectorWorld(ListenerState.Listening);
  await clock.advance(1_000);
  const bornMs = clock.wallNow();
  await clock.advance(500);
  detector.noteReborn(record, bornMs);
  detector.noteBreak(ENGINE, 'of the new life', 100);
  detector.noteBreak(ENGINE, 'hung since the crash', 700);
  await clock.advance(CHECK_MS);
  t.deepEqual(crashes, [{ engineId: ENGINE, fingerprints: ['hung since the crash'] }]);
});

test('an engine that drained may start again without having crashed', async (t) => {
  const { clock, detector, crashes, record, statistics } = detectorWorld(
    ListenerState.Listening,
    true,
  );
  await clock.advance(1_000);
  detector.noteReborn(record, clock.wallNow());
  t.deepEqual([crashes.length, statistics.engineCrashes], [0, 0]);
});

test('requests are the same by caller, host, method, path and body, and by nothing else', (t) => {
  const identity = {
    tenant: 'tenant-1',
    host: 'host.example',
    method: 'POST',
    path: '/stream/x',
    body: Buffer.from('prompt'),
  };
  const fingerprint = fingerprintOf(identity);
  const again = { ...identity, id: 'another attempt', target: '/stream/x?page=2' };
  t.is(fingerprintOf(again), fingerprint);
  const others = [
    { ...identity, tenant: 'tenant-2' },
    { ...identity, tenant: undefined },
    { ...identity, host: 'other.example' },
    { ...identity, method: 'PUT' },
    { ...identity, path: '/stream/y' },
    { ...identity, body: Buffer.from('prompt!') },
    { ...identity, path: '/stream/xprompt', body: Buffer.from('') },
  ].map(fingerprintOf);
  t.is(new Set([fingerprint, ...others]).size, others.length + 1);
  t.regex(fingerprint, /^[0-9a-f]{32}$/);
});
