/**
 * Guards against engine speeds that are wrong under noise, slow to follow a lasting slowdown, decided
 * by one false or stuck report, or kept for engines that restarted or left.
 */
import test from 'ava';
import type { EngineSpeedEntry } from '../../src/coordination/gateway/observation-exchange.js';
import { ResponseSpeed } from '../../src/coordination/gateway/response-speed.js';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { sendAllKinds } from '../../src/lab/gateway-simulation/simulation-traffic.js';
import { BodyFraming, type ResponseHead } from '../../src/protocol/inference/port.js';
import { LoadSharing } from '../../src/coordination/gateway/load-sharing.js';
import { LoadSharingFeature } from '../../src/coordination/gateway/load-sharing-settings.js';
import { memberKey } from '../../src/state/member-key.js';
import { type Engine, EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { DEFAULT_ENGINE_SPEED } from '../../src/state/routing/engine-speeds.js';
import { FinishEstimate } from '../../src/state/routing/finish-estimate.js';
import { StreamPauses } from '../../src/state/routing/stream-pauses.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { engineRecord } from '../helpers/engine-record.js';
import { PREFILL_TOKENS_PER_MS, SpeedLearning, speedExchange } from '../helpers/speed-learning.js';
import { loadSharingParts } from '../helpers/load-sharing-parts.js';

const MODEL = 'model-a';
const PAUSE_MS = 30;
const ROUND_MS = 200;

/** A router that knows five engines, of which all are observed to have the same speed. */
function smallDeployment() {
  const clock = new VirtualClock();
  const registry = new EngineRegistry();
  for (let index = 0; index < 5; index += 1) registry.put(engineRecord(`engine-${index}`, 1));
  const router = speedExchange('router-0', registry, clock);
  const report = (engineId: string, changes: Partial<EngineSpeedEntry>): EngineSpeedEntry => ({
    engineKey: memberKey(engineId),
    weight: 1,
    prefillTokensPerMs: 0,
    ageMs: 0,
    eventMs: PAUSE_MS,
    ...changes,
  });
  const summarize = (entries: readonly EngineSpeedEntry[]): void => {
    router.part.receive('collector', entries, true, clock.now());
    router.part.takeOwn(20, clock.now());
  };
  const observe = async (engineId: string, pauseMs: number, forMs: number): Promise<void> => {
    const record = registry.find(engineId)?.record;
    const untilMs = clock.now() + forMs;
    while (record && clock.now() < untilMs) {
      await clock.advance(pauseMs);
      router.part.notePause(record, pauseMs, 0);
    }
    router.part.takeOwn(20, clock.now());
  };
  const all = [...registry.ids];
  summarize(all.map((id) => report(id, {})));
  return { ...router, clock, registry, report, summarize, observe, all };
}

function quantile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? NaN;
}

test('speeds are accurate under noise and follow a lasting slowdown and its end', async (t) => {
  const group = new SpeedLearning({ routers: 84, engines: 63, seed: 1 });
  await group.clock.advance(4_000);
  const engines = [...group.engines.keys()];
  const errors: number[] = [];
  for (let round = 0; round < 40; round += 1) {
    await group.clock.advance(ROUND_MS);
    errors.push(...engines.map((engine) => group.errorAt(5, engine)));
  }
  const known = errors.filter((error) => !Number.isNaN(error));
  const falseAlarms = known.filter((error) => error > 1.5).length / known.length;
  t.true(known.length > 0.98 * errors.length);
  t.true(quantile(known, 0.1) > 0.95 && quantile(known, 0.9) < 1.2);
  t.true(falseAlarms < 0.08, `${falseAlarms}`);
  const medium = group.routers[5]?.part.table.at(group.idOf(1));
  const prefillError = (medium?.prefillTokensPerMs ?? 0) / PREFILL_TOKENS_PER_MS;
  t.true(prefillError > 0.7 && prefillError < 1.4, `${prefillError}`);

  const slow = engines.filter((engine) => engine % 6 < 3).slice(0, 18);
  const delays = async (isReached: (error: number) => boolean): Promise<number[]> => {
    const startMs = group.clock.now();
    const reached = new Map<number, number>();
    while (group.clock.now() < startMs + 6_500) {
      await group.clock.advance(ROUND_MS / 2);
      for (const engine of slow) {
        const isNew = !reached.has(engine) && isReached(group.errorAt(5, engine));
        if (isNew) reached.set(engine, group.clock.now() - startMs);
      }
    }
    return slow.map((engine) => reached.get(engine) ?? Infinity);
  };
  for (const engine of slow) (group.engines[engine] as { disturbance: number }).disturbance = 3.5;
  const detectionMs = await delays((error) => error > 0.6);
  for (const engine of slow) (group.engines[engine] as { disturbance: number }).disturbance = 1;
  const recoveryMs = await delays((error) => !(error > 1.5));
  t.log(`prefill ${prefillError}, false alarms ${falseAlarms}`);
  t.log(`detection ${detectionMs.join(' ')}; recovery ${recoveryMs.join(' ')}`);
  t.true(quantile(detectionMs, 0.5) <= 2_000, detectionMs.join(' '));
  t.true(quantile(recoveryMs, 0.5) <= 1_000, recoveryMs.join(' '));
});

test('a restarted router knows nine in ten speeds after 1.2 s', async (t) => {
  const group = new SpeedLearning({ routers: 84, engines: 63, seed: 2 });
  await group.clock.advance(5_000);
  group.restart(40);
  await group.clock.advance(1_200);
  const errors = [...group.engines.keys()].map((engine) => group.errorAt(40, engine));
  t.true(errors.filter((error) => !Number.isNaN(error)).length >= 57, errors.join(' '));
});

test('with a tenth of datagrams lost, speeds are known and a restarted router learns them', async (t) => {
  const group = new SpeedLearning({ routers: 84, engines: 63, seed: 2, lossShare: 0.1 });
  await group.clock.advance(5_000);
  group.restart(40);
  await group.clock.advance(3_000);
  for (const router of [5, 40]) {
    const errors = [...group.engines.keys()].map((engine) => group.errorAt(router, engine));
    t.true(errors.filter((error) => error > 0.6 && error < 1.5).length >= 53, errors.join(' '));
  }
});

test('routers of a small group learn from each other without a collector', async (t) => {
  const group = new SpeedLearning({ routers: 5, engines: 9, seed: 4, isSmall: true });
  await group.clock.advance(10_000);
  const errors: number[] = [];
  for (let round = 0; round < 25; round += 1) {
    await group.clock.advance(ROUND_MS);
    for (const router of group.routers.keys()) {
      errors.push(...[...group.engines.keys()].map((engine) => group.errorAt(router, engine)));
    }
  }
  const accurate = errors.filter((error) => error > 0.6 && error < 1.5);
  t.true(accurate.length > 0.85 * errors.length, `${accurate.length} of ${errors.length}`);
});

test('after the collector died, no speed is lost and the next one goes on', async (t) => {
  const group = new SpeedLearning({ routers: 20, engines: 12, seed: 3 });
  await group.clock.advance(10_000);
  const engines = [...group.engines.keys()];
  const known = engines.filter((engine) => !Number.isNaN(group.errorAt(5, engine)));
  t.true(known.length >= 11);
  group.collector = 1;
  const errors: number[] = [];
  for (let round = 0; round < 25; round += 1) {
    await group.clock.advance(ROUND_MS);
    errors.push(...known.map((engine) => group.errorAt(5, engine)));
  }
  t.false(errors.some((error) => Number.isNaN(error)));
  t.true(errors.filter((error) => error > 0.6 && error < 1.5).length > 0.9 * errors.length);
});

test('a report of 100 times the speed is limited, and own responses refute it', async (t) => {
  const { part, all, report, summarize, observe, statistics } = smallDeployment();
  const [engineId = ''] = all;
  summarize([report(engineId, { eventMs: PAUSE_MS / 100, weight: 1e30 })]);
  summarize([report(engineId, { eventMs: 1, weight: 1e30 })]);
  const before = part.table.at(engineId).prefillTokensPerMs;
  t.true(before <= 3.01 * DEFAULT_ENGINE_SPEED.prefillTokensPerMs);
  await observe(engineId, PAUSE_MS, 1_000);
  summarize([report(engineId, { eventMs: 1 })]);
  t.true(part.table.at(engineId).prefillTokensPerMs <= 1.51 * before * (1 / 3));
  t.true(statistics.engineSpeedReportsLimited > 0);
});

test('an engine that prefills other prompts all the time does not count as slow', async (t) => {
  const { part, all, registry, clock } = smallDeployment();
  const [busy = '', slow = ''] = all;
  for (let pause = 0; pause < 20; pause += 1) {
    await clock.advance(200);
    const [busyRecord, slowRecord] = [busy, slow].map((id) => registry.find(id)?.record);
    if (!busyRecord || !slowRecord) return t.fail();
    part.notePause(busyRecord, 7 * PAUSE_MS, 8_000);
    part.notePause(slowRecord, 7 * PAUSE_MS, 500);
    part.takeOwn(20, clock.now());
  }
  t.false(part.table.isSlow(busy));
  t.true(part.table.isSlow(slow));
});

test('values that are no speeds are ignored', (t) => {
  const { part, all, report, summarize } = smallDeployment();
  const [engineId = ''] = all;
  for (const eventMs of [0, -5, NaN, Infinity, 1e9]) summarize([report(engineId, { eventMs })]);
  summarize([report(engineId, { weight: NaN, eventMs: 2 })]);
  summarize([report(engineId, { prefillTokensPerMs: Infinity, ageMs: 0 })]);
  t.deepEqual(part.table.at(engineId), DEFAULT_ENGINE_SPEED);
});

test('late and duplicated estimates do not replace newer ones', async (t) => {
  const { part, all, report, summarize, clock } = smallDeployment();
  const [engineId = ''] = all;
  await clock.advance(1_000);
  const slow = report(engineId, { eventMs: 3 * PAUSE_MS });
  summarize([slow]);
  summarize([report(engineId, { ageMs: 900 })]);
  t.is(part.table.beliefOf(engineId)?.eventMs, 3 * PAUSE_MS);
  // Each duplicate states the same age, so that the value expires when no new one follows.
  await clock.advance(7_000);
  summarize([{ ...slow, ageMs: 7_000 }]);
  t.is(part.table.at(engineId).tokenMs, DEFAULT_ENGINE_SPEED.tokenMs);
});

test('a slow engine is treated as the others some seconds after its last response', async (t) => {
  const { part, all, report, summarize, clock } = smallDeployment();
  const [engineId = ''] = all;
  summarize([report(engineId, { eventMs: 3.5 * PAUSE_MS })]);
  const { prefillTokensPerMs } = part.table.at(engineId);
  t.true(Math.abs(prefillTokensPerMs * 3.5 - DEFAULT_ENGINE_SPEED.prefillTokensPerMs) < 0.1);
  await clock.advance(6_500);
  part.takeOwn(20, clock.now());
  t.is(part.table.at(engineId).prefillTokensPerMs, DEFAULT_ENGINE_SPEED.prefillTokensPerMs);
});

test('a restarted engine starts anew, and nothing is kept of engines that left', async (t) => {
  const { part, all, registry, observe, report, summarize } = smallDeployment();
  const [engineId = ''] = all;
  await observe(engineId, 4 * PAUSE_MS, 2_000);
  summarize([report(engineId, { eventMs: 4 * PAUSE_MS })]);
  t.true(part.table.isSlow(engineId));
  registry.put(engineRecord('engine-0', 2));
  summarize([report(engineId, { eventMs: 4 * PAUSE_MS })]);
  t.is(part.table.beliefOf(engineId), undefined);
  t.deepEqual(part.table.at('engine-0@2'), DEFAULT_ENGINE_SPEED);
});

test('routers of an earlier build, which send no speeds, leave the default', (t) => {
  const clock = new VirtualClock();
  const registry = new EngineRegistry();
  registry.put(engineRecord('engine-0', 1));
  const { part } = speedExchange('router-0', registry, clock);
  part.receive('router-1', [], true, 0);
  part.collect('router-1', [], 0);
  part.takeOwn(20, 0);
  t.deepEqual(part.table.at('engine-0@1'), DEFAULT_ENGINE_SPEED);
  t.deepEqual(part.takeSummary(20, 0), []);
});

test('unchanged speeds are not sent again and again, and unknown ones are asked for five times', async (t) => {
  const { part, clock, report, all } = smallDeployment();
  t.is(part.takeSummary(20, 0).length, all.length);
  await clock.advance(ROUND_MS);
  part.receive(
    'collector',
    all.map((id) => report(id, {})),
    true,
    clock.now(),
  );
  part.takeOwn(20, clock.now());
  t.deepEqual(part.takeSummary(20, clock.now()), []);
  const idle = speedExchange('router-1', new EngineRegistry(), clock);
  let questions = 0;
  for (let second = 0; second < 30; second += 1) {
    await clock.advance(1_000);
    questions += idle.part.takeOwn(20, clock.now()).length;
  }
  t.is(questions, 5);
});

test('changes are logged, at most ten a second', (t) => {
  const { all, report, summarize, logger, statistics } = smallDeployment();
  for (let change = 0; change < 40; change += 1) {
    summarize(all.map((id) => report(id, { eventMs: PAUSE_MS * (change % 2 === 0 ? 1 : 2) })));
    summarize([report(all[0] ?? '', { eventMs: PAUSE_MS * (change % 2 === 0 ? 4 : 1) })]);
  }
  t.is(logger.lines.length, 10);
  t.is(logger.lines[0]?.event, 'engine_speed_changed');
  t.is(logger.lines[0]?.fields?.new_event_ms, PAUSE_MS);
  t.true(statistics.engineSpeedChanges > 10);
});

test('a router with the feature disabled neither learns nor sends', (t) => {
  const disabled = new Set([LoadSharingFeature.EngineSpeeds]);
  const sharing = new LoadSharing(loadSharingParts({ disabled }));
  sharing.views.speedObserver.notePause(engineRecord('engine-0', 1), 500, 0);
  t.is(sharing.observations.engineSpeeds, undefined);
  t.deepEqual(sharing.views.speeds.at('engine-0@1'), DEFAULT_ENGINE_SPEED);
});

test('a short last event, an event held up and an interrupted read are not taken for speed', (t) => {
  const samplesOf = (eventsMs: readonly number[]): number[] => {
    const pauses = new StreamPauses();
    return eventsMs.flatMap((atMs) => pauses.noteEvent(atMs) ?? []);
  };
  t.deepEqual(samplesOf([0, 30, 60, 90, 102]), [30, 30]);
  t.deepEqual(samplesOf([0, 30, 60, 72, 72]), [30]);
  t.true(samplesOf([0, 30, 85, 90, 120, 150]).every((sample) => sample >= 30));
  const interrupted = new StreamPauses();
  for (const atMs of [0, 30, 60]) interrupted.noteEvent(atMs);
  interrupted.interrupt();
  t.is(interrupted.noteEvent(500), undefined);
  t.is(interrupted.noteEvent(502), undefined);
});

test('the finish estimate follows the speed of the chosen engine', (t) => {
  const estimate = new FinishEstimate();
  const sample = { expectedMs: 200, firstTokenMs: 200, chunkCount: 10, outputTokens: 50 };
  const slownesses = [0.6, 1, 1.7];
  for (let response = 0; response < 600; response += 1) {
    const slowness = slownesses[response % slownesses.length] as number;
    estimate.noteEnd(MODEL, sample, 0);
    estimate.notePause(MODEL, PAUSE_MS * slowness, slowness);
  }
  for (const slowness of slownesses) {
    const expectedMs = 200 + 10 * PAUSE_MS * slowness;
    const finishMs = estimate.finishMs(MODEL, 200, 50, 0, slowness) ?? NaN;
    t.true(Math.abs(finishMs - expectedMs) < 1, `${finishMs}`);
  }
});

test('speeds are observed from successful streams only', (t) => {
  const clock = new VirtualClock();
  const registry = new EngineRegistry();
  registry.put(engineRecord('engine-0', 1));
  const engine = registry.findByName('engine-0') as Engine;
  const parts = [
    { id: 'shared', tokens: 6_300 },
    { id: 'own', tokens: 2_890 },
  ];
  const generation = { model: MODEL, parts, promptTokens: 9_190, maximumOutputTokens: 50 };
  const placement = { engine, unreadTokens: 2_890, fetchFrom: undefined };
  const observedFrom = (head: Partial<ResponseHead>): number[] => {
    const observed: number[] = [];
    const speed = new ResponseSpeed(
      {
        generation,
        placement,
        options: { resumeAfter: undefined },
        sentMs: 0,
        queuedTokens: 0,
        queuedTokensNow: () => 0,
      },
      {
        notePause: (_, pauseMs) => observed.push(pauseMs),
        noteFirstByte: (_, { waitedMs, ownTokens }) => observed.push(waitedMs, ownTokens),
        noteLength: (_, tokens, events) => observed.push(tokens, events),
      },
    );
    speed.noteHead({
      status: 200,
      headers: [],
      contentLength: undefined,
      framing: BodyFraming.Chunks,
      isAttested: true,
      ...head,
    });
    for (const atMs of [100, 130, 160]) speed.noteChunk(clock.now() + atMs);
    speed.noteEnd();
    return observed;
  };
  t.deepEqual(observedFrom({}), [100, 2_890, 30, 50, 3]);
  t.deepEqual(observedFrom({ status: 500 }), []);
  t.deepEqual(observedFrom({ contentLength: 900 }), []);
  t.deepEqual(observedFrom({ isAttested: false }), []);
});

test('a router learns from the streams that it passes on', async (t) => {
  const simulation = await GatewaySimulation.create(1);
  await sendAllKinds(simulation, 3_000, 20);
  await simulation.settle();
  t.true(simulation.totalOf('enginePausesObserved') > 0);
  t.deepEqual(findBreaches(simulation), []);
});
