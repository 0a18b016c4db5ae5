/** One soak with one seed: processes, callers, the series of faults, the verdict. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { SeededRandom } from '../src/runtime/random.js';
import { type CallRecord, Caller, type CallerKey, type DirectoryRecord } from './callers.js';
import { Deployment } from './deployment.js';
import { weightsOf } from './engine-fleet.js';
import { type Breach, judgeSoak } from './oracle.js';
import { type Resender, makeSchedule } from './schedule.js';

/** What a soak is made of. */
export interface SoakOptions {
  readonly seed: number;
  /** Length of the series of faults. */
  readonly spanMs: number;
  readonly routers: number;
  /** Whether engines restart under their names and odd entries are written. */
  readonly hasEngineLives: boolean;
  /** Whether engines leave while the store is out, and ask for pauses. */
  readonly hasEngineNotices: boolean;
  /** Whether engines name limits on requests a second. */
  readonly hasEngineLimits: boolean;
  /** Whether the store comes back from older copies of itself. */
  readonly hasStoreRestorations: boolean;
  readonly callers: number;
  /** For settings, logs and, where a promise was broken, all that is known. */
  readonly folder: string;
  /** Builds of the routers' program: they take them in turn, and each router the next one with each start. */
  readonly programs: readonly string[];
}

/** The bundle that `npm run bundle` writes. */
export const BUNDLE = fileURLToPath(new URL('../../target/peatspan.cjs', import.meta.url));

/** How a soak ended. */
export interface SoakResult {
  readonly seed: number;
  readonly calls: number;
  /** Calls by status, or by how they failed. */
  readonly outcomes: ReadonlyMap<string, number>;
  readonly steps: readonly string[];
  readonly breaches: readonly Breach[];
}

const KEYS: readonly CallerKey[] = [
  { tenant: 'tenant-1', key: 'key-1a' },
  { tenant: 'tenant-1', key: 'key-1b' },
  { tenant: 'tenant-2', key: 'key-2a' },
  { tenant: 'tenant-2', key: 'key-2b' },
];
/** Keys that are never taken away. */
const LASTING_KEYS = KEYS.filter(({ key }) => key.endsWith('a'));
const STARTUP_LIMIT_MS = 20_000;
const LONGEST_PAUSE_MS = 120;
/** After the last fault everything comes to rest: a planned stop may take the whole grace time. */
const SETTLING_MS = 14_000;
const CALLS_AT_REST = 100;

/** Runs the soak to its end; its processes have ended then. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, spanMs, routers, folder, programs } = options;
  mkdirSync(folder, { recursive: true });
  const size = { routers, plainEngines: 2, generationEngines: 3 };
  const deployment = await Deployment.start(size, KEYS, folder, programs);
  try {
    const steps = makeSchedule(new SeededRandom(seed), options);
    const calls: CallRecord[] = [];
    const answers: DirectoryRecord[] = [];
    await untilServed(deployment, calls, answers);
    const traffic = new Traffic(options, deployment, calls, answers);
    traffic.start();
    for (const step of steps) {
      const resend: Resender = (...args) => traffic.sendAgain(...args);
      setTimeout(() => void Promise.resolve(step.run(deployment, resend)), step.atMs);
    }
    await pause(spanMs + SETTLING_MS);
    await traffic.stop();
    const callsAtRest = await callAtRest(deployment, calls, answers);
    const breaches = judgeSoak({
      calls,
      answers,
      observations: deployment.observations,
      routers: deployment.routers,
      weightsAtRest: {
        named: deployment.namedVersion,
        engines: weightsOf(deployment.fleet.running),
      },
      callsAtRest,
    });
    const names = steps.map(({ atMs, name }) => `${atMs} ms ${name}`);
    if (breaches.length > 0) keepEvidence(folder, deployment, calls, answers, names, breaches);
    return { seed, calls: calls.length, outcomes: countOutcomes(calls), steps: names, breaches };
  } finally {
    await deployment.end();
  }
}

/** Callers that send one request after the other. */
class Traffic {
  private isOver = false;
  private loops: Promise<void>[] = [];
  private resenders = 0;

  constructor(
    private readonly options: SoakOptions,
    private readonly deployment: Deployment,
    private readonly calls: CallRecord[],
    private readonly answers: DirectoryRecord[],
  ) {}

  start(): void {
    const { seed, callers } = this.options;
    this.loops = Array.from({ length: callers }, async (_, index) => {
      const random = new SeededRandom(seed * 1_000 + index);
      const { directories } = this.deployment;
      const name = `caller${index}`;
      const caller = new Caller(name, directories, KEYS, random, this.calls, this.answers);
      while (!this.isOver) {
        await caller.call();
        await pause(random.next() * LONGEST_PAUSE_MS);
      }
      caller.close();
    });
  }

  /** A caller of its own sends the same request again and again, always with the same key. */
  async sendAgain(...[request, times, gapMs]: Parameters<Resender>): Promise<void> {
    this.resenders += 1;
    const name = `again${this.resenders}`;
    const random = new SeededRandom(this.options.seed * 1_000 + 500 + this.resenders);
    const { directories } = this.deployment;
    const keys = LASTING_KEYS.slice(0, 1);
    const caller = new Caller(name, directories, keys, random, this.calls, this.answers);
    for (let count = 0; count < times && !this.isOver; count += 1) {
      await caller.call(request);
      await pause(gapMs);
    }
    caller.close();
  }

  async stop(): Promise<void> {
    this.isOver = true;
    await Promise.all(this.loops);
  }
}

async function callAtRest(
  deployment: Deployment,
  calls: CallRecord[],
  answers: DirectoryRecord[],
): Promise<CallRecord[]> {
  const own: CallRecord[] = [];
  const random = new SeededRandom(1);
  const caller = new Caller('rest', deployment.directories, LASTING_KEYS, random, own, answers);
  for (let count = 0; count < CALLS_AT_REST; count += 1) await caller.call();
  caller.close();
  calls.push(...own);
  return own;
}

/** Waits until a request is served; rejects where none is in time. */
async function untilServed(
  deployment: Deployment,
  calls: CallRecord[],
  answers: DirectoryRecord[],
): Promise<void> {
  const deadlineMs = Date.now() + STARTUP_LIMIT_MS;
  const random = new SeededRandom(1);
  const caller = new Caller('start', deployment.directories, LASTING_KEYS, random, calls, answers);
  while (Date.now() < deadlineMs) {
    await caller.call();
    if (calls.at(-1)?.status === 200) {
      caller.close();
      return;
    }
    await pause(LONGEST_PAUSE_MS);
  }
  throw new Error('nothing was served after the start');
}

function countOutcomes(calls: readonly CallRecord[]): Map<string, number> {
  const outcomes = new Map<string, number>();
  for (const { status, failure } of calls) {
    const outcome = failure === undefined ? String(status) : `failed: ${failure}`;
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  }
  return outcomes;
}

function keepEvidence(
  folder: string,
  { observations, routers }: Deployment,
  calls: readonly CallRecord[],
  answers: readonly DirectoryRecord[],
  steps: readonly string[],
  breaches: readonly Breach[],
): void {
  const disturbances = routers.map(({ place, disturbances: spans, stops }) => ({
    router: place.name,
    spans,
    stops,
  }));
  const evidence = {
    breaches,
    steps,
    disturbances,
    calls,
    answers,
    observations: { ...observations, drains: [...observations.drains] },
  };
  writeFileSync(join(folder, 'evidence.json'), JSON.stringify(evidence, undefined, 1));
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
