/**
 * Guards against a prompt part that crashes one engine after another, because no two requests with
 * it are alike, and against blaming the sound parts that share its prompts or its engines.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import type { ObservedRequest } from '../../src/lab/gateway-simulation/simulation-records.js';
import {
  CRASHING_PART,
  GENERATION_SERVICE,
  type RequestKind,
  bodyWithParts,
} from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { HttpStatus } from '../../src/protocol/http-status.js';

const SEED = 67;
const RUN_MS = 24_000;
const STEP_MS = 10;
const SOUND_INTERVAL_MS = 50;
const SOUND_SUBJECTS = 12;
/** The part is quarantined by then, and engines are back. */
const SETTLED_MS = 12_000;
const MINIMUM_BEGUN_SHARE = 0.5;
/** A part of most prompts, also of those that crash engines. */
const COMMON_PART = 'common';

interface Prompts {
  /** Shared parts of the sound request with a number. */
  readonly sound: (index: number) => readonly string[];
  /** Shared parts of the request with a number that crashes its engine. */
  readonly crashing: (index: number) => readonly string[];
  readonly crashIntervalMs: number;
}

function subject(index: number): string {
  return `subject-${index % SOUND_SUBJECTS}`;
}

/** Sends sound and crashing requests, of which no two are alike; returns the sound ones. */
async function sendPrompts(
  simulation: GatewaySimulation,
  kind: RequestKind,
  { sound, crashing, crashIntervalMs }: Prompts,
): Promise<ObservedRequest[]> {
  const soundRequests: ObservedRequest[] = [];
  let sent = 0;
  const send = (parts: readonly string[]): ObservedRequest | undefined => {
    sent += 1;
    simulation.request(sent, kind, 'tenant-2', 0, bodyWithParts(parts, `text-${sent}`));
    return simulation.requests.at(-1);
  };
  for (let elapsedMs = 0; elapsedMs < RUN_MS; elapsedMs += STEP_MS) {
    if (elapsedMs % crashIntervalMs === 0) send(crashing(elapsedMs / crashIntervalMs));
    if (elapsedMs % SOUND_INTERVAL_MS === 0) {
      const request = send(sound(elapsedMs / SOUND_INTERVAL_MS));
      if (request) soundRequests.push(request);
    }
    await simulation.clock.advance(STEP_MS);
  }
  return soundRequests;
}

function crashesOf({ observations }: GatewaySimulation): number {
  return observations.crashes.filter(({ crashedMs }) => crashedMs !== undefined).length;
}

const PROMPTS: ReadonlyMap<string, Prompts> = new Map([
  [
    'after a common part',
    {
      sound: (index) => [COMMON_PART, subject(index)],
      crashing: () => [COMMON_PART, CRASHING_PART],
      crashIntervalMs: 700,
    },
  ],
  [
    'as the first part',
    {
      sound: (index) => [COMMON_PART, subject(index)],
      crashing: (index) => [CRASHING_PART, subject(index)],
      crashIntervalMs: 700,
    },
  ],
  [
    'as one of two',
    {
      sound: (index) => [COMMON_PART, subject(index)],
      crashing: (index) => [COMMON_PART, `${CRASHING_PART}-${index % 2}`],
      crashIntervalMs: 600,
    },
  ],
]);

// Requests with the part are each the first of their kind, so none is quarantined by itself.
test('a prompt part that crashes engines is quarantined', async (t) => {
  for (const [place, prompts] of PROMPTS) {
    for (const kind of ['stream-once', 'stream-resumable'] as const) {
      const simulation = await GatewaySimulation.create(SEED);
      await sendPrompts(simulation, kind, prompts);
      t.log(`${kind}, ${place}`, `${crashesOf(simulation)} crashes`);
      const breaches = findBreaches(simulation).filter(({ rule }) => rule === 'crashes-bounded');
      t.deepEqual(breaches, [], `${kind}, ${place}`);
    }
  }
});

// Sent again at once, it would reach all engines before the crash of the first is detected.
test('a stream that crashes engines ends two of them at most', async (t) => {
  const simulation = await GatewaySimulation.create(SEED);
  const body = bodyWithParts([COMMON_PART, CRASHING_PART], 'text');
  simulation.request(0, 'stream-resumable', 'tenant-2', 0, body);
  await simulation.clock.advance(SETTLED_MS);
  t.is(crashesOf(simulation), 2);
});

// Crashes of engines, and parts blamed for crashes that they were only beside, stop sound requests.
test('sound requests begin while a prompt part crashes engines', async (t) => {
  for (const [place, prompts] of PROMPTS) {
    const simulation = await GatewaySimulation.create(SEED);
    const startMs = simulation.now;
    const sound = await sendPrompts(simulation, 'stream-resumable', prompts);
    const settled = sound.filter(({ sentMs }) => sentMs >= startMs + SETTLED_MS);
    const begun = settled.filter(({ reply }) => reply.status === HttpStatus.Ok);
    t.log(place, `${begun.length} of ${settled.length} begun`);
    t.true(begun.length >= MINIMUM_BEGUN_SHARE * settled.length, place);
  }
});

const ROLLING_SEEDS = [91, 92, 93];
const ROLLING_ENGINES = 6;
const STREAM_INTERVAL_MS = 40;
/** Longer than the time within which crashes count as one. */
const ROLLING_INTERVAL_MS = 700;
/** Engines write nothing of a response for this long, as under load. */
const SLOW_BEGIN_MS = 1_500;
const LISTED_MS = 2_000;
const WARM_UP_MS = 3_000;
const BACK_MS = 16_000;

/** Sends streams with the common part to all routers in turn; returns them. */
async function sendStreams(
  simulation: GatewaySimulation,
  forMs: number,
): Promise<ObservedRequest[]> {
  const streams: ObservedRequest[] = [];
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += STREAM_INTERVAL_MS) {
    const number = simulation.requests.length;
    const body = bodyWithParts([COMMON_PART, subject(number)], `text-${number}`);
    simulation.request(number, 'stream-resumable', 'tenant-2', 0, body);
    const request = simulation.requests.at(-1);
    if (request) streams.push(request);
    await simulation.clock.advance(STREAM_INTERVAL_MS);
  }
  return streams;
}

// The streams at each engine were sent before the one before it crashed, so they show no cause.
test('a part that all prompts share is not quarantined as engines crash one after the other', async (t) => {
  for (const seed of ROLLING_SEEDS) {
    const simulation = await GatewaySimulation.create(seed);
    const { fleet } = simulation;
    while (fleet.generationEngines.length < ROLLING_ENGINES) fleet.add(GENERATION_SERVICE);
    const capacity = { slots: 64, queued: 64, serviceMs: SLOW_BEGIN_MS };
    fleet.setCapacity(GENERATION_SERVICE, capacity);
    await simulation.clock.advance(LISTED_MS);
    await sendStreams(simulation, WARM_UP_MS);
    const engines = [...Array(fleet.size).keys()].filter(
      (index) => fleet.engine(index).service === GENERATION_SERVICE,
    );
    const streams: ObservedRequest[] = [];
    for (const index of engines) {
      fleet.crash(index);
      streams.push(...(await sendStreams(simulation, ROLLING_INTERVAL_MS)));
    }
    streams.push(...(await sendStreams(simulation, BACK_MS)));
    const denied = streams.filter(({ reply }) => reply.own?.status === 422);
    t.log(`seed ${seed}: ${denied.length} of ${streams.length} denied`);
    t.is(denied.length, 0, `seed ${seed}`);
  }
});
