/** Runs one soak with one seed: processes, callers, faults and the check of the promises. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { SeededRandom } from '../src/runtime/random.js';
import { type CallRecord, Caller, type CallerKey, type DirectoryResponse } from './callers.js';
import { Deployment } from './deployment.js';
import { weightsOf } from './engine-fleet.js';
import { PLAIN_ENGINES_THAT_CRASH } from './joint-crash-steps.js';
import type { EngineCapacity } from './messages.js';
import { type SoakRecord, type Violation, judgeSoak } from './oracle.js';
import { countUnread } from './planned-stop-oracle.js';
import { PersistentCallers } from './persistent-callers.js';
import { type PersistentCallerStarter, type Resender, makeSchedule } from './schedule.js';

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the faults. */
  readonly spanMs: number;
  readonly routers: number;
  /** Whether engines restart under their names and malformed entries are written. */
  readonly hasEngineLives: boolean;
  /** Whether engines drain during store outages and reject requests with retry delays. */
  readonly hasEngineNotices: boolean;
  /** Whether engines announce limits on requests per second. */
  readonly hasEngineLimits: boolean;
  /** Whether the store is restored from older copies of itself. */
  readonly hasStoreRestorations: boolean;
  /** Whether routers are cut off from all engines. */
  readonly hasEngineCuts: boolean;
  /** Whether plain engines, which then have few slots, fail when they reject too many requests. */
  readonly hasBrittleEngines: boolean;
  /** Whether engines crash on a part of prompts. */
  readonly hasCrashingParts: boolean;
  /** Whether a tenant has a limit, and exceeds it while routers pause. */
  readonly hasTenantQuotas: boolean;
  /** Whether sound engines are silent for a while. */
  readonly hasSilentEngines: boolean;
  /** Whether engines spoil their responses, and all routers are killed at once. */
  readonly hasSpoiledResponses: boolean;
  /** Whether engines end their responses early and in order. */
  readonly hasEarlyEnds: boolean;
  /** Whether builds of engines come and go while the store is faulty and all routers are killed. */
  readonly hasBuildReleases: boolean;
  /** Whether engines send responses behind cut heads, and answer requests for the rest of streams wrongly. */
  readonly hasContradictedResponses: boolean;
  /** Whether streams last for seconds, while routers that are short of processor time stop. */
  readonly hasLongStreams: boolean;
  /** Whether another program writes entries that are deeply nested, or have odd numbers or ports. */
  readonly hasOddEntries: boolean;
  /** Whether clients that do not behave come to routers. */
  readonly hasClientCrowds: boolean;
  /** Whether all plain engines crash at once while a popular read is in progress. */
  readonly hasJointCrashes: boolean;
  /** Whether configurations isolate tenants and let them share cached prompts again. */
  readonly hasChangingIsolation: boolean;
  readonly callers: number;
  /** Directory of settings, logs and, after a violation, the evidence. */
  readonly folder: string;
  /** Builds of the routers' program, assigned round-robin; each restart uses the next one. */
  readonly programs: readonly string[];
}

/** The bundle that `npm run bundle` writes. */
export const BUNDLE = fileURLToPath(new URL('../../target/peatspan.cjs', import.meta.url));

/** Result of a soak. */
export interface SoakResult {
  readonly seed: number;
  readonly calls: number;
  /** Number of calls by status or failure. */
  readonly outcomes: ReadonlyMap<string, number>;
  /** Number of calls that routers killed at the end of their grace period had not read. */
  readonly unread: number;
  readonly steps: readonly string[];
  readonly violations: readonly Violation[];
}

const KEYS: readonly CallerKey[] = [
  { tenant: 'tenant-1', key: 'key-1a' },
  { tenant: 'tenant-1', key: 'key-1b' },
  { tenant: 'tenant-2', key: 'key-2a' },
  { tenant: 'tenant-2', key: 'key-2b' },
];
/** Keys that are never removed. */
const PERMANENT_KEYS = KEYS.filter(({ key }) => key.endsWith('a'));
const PLAIN_ENGINES = 2;
const AMPLE_CAPACITY: EngineCapacity = { slots: 32, plainWorkMs: 25 };
/** The callers fill these slots. */
const SCARCE_CAPACITY: EngineCapacity = { slots: 2, plainWorkMs: 150 };
const STARTUP_TIMEOUT_MS = 20_000;
const MAXIMUM_PAUSE_MS = 120;
/** Wait after the last fault; exceeds the grace time of a planned stop. */
const SETTLING_MS = 14_000;
const FINAL_CALLS = 100;

/** Runs a soak; resolves after its processes have ended. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, spanMs, routers, folder, programs, hasBrittleEngines, hasTenantQuotas } = options;
  const { hasBuildReleases: hasReleases, hasLongStreams } = options;
  mkdirSync(folder, { recursive: true });
  const plainCapacity = hasBrittleEngines ? SCARCE_CAPACITY : AMPLE_CAPACITY;
  // Routers of the earlier build take the end of a connection for a stated end, and know no builds of
  // engines.
  const hasUniformEngines = programs.length > 1;
  const plainEngines = options.hasJointCrashes ? PLAIN_ENGINES_THAT_CRASH : PLAIN_ENGINES;
  const engines = { plainEngines, generationEngines: 3, plainCapacity };
  const variants = { hasUniformEngines, hasReleases, hasTenantQuotas, hasLongStreams };
  const size = { routers, ...engines, ...variants };
  const deployment = await Deployment.start(size, KEYS, folder, programs);
  try {
    const steps = makeSchedule(new SeededRandom(seed), options);
    const calls: CallRecord[] = [];
    const directoryResponses: DirectoryResponse[] = [];
    await waitUntilServed(deployment, calls, directoryResponses);
    const traffic = new Traffic(options, deployment, calls, directoryResponses);
    traffic.start();
    for (const step of steps) {
      const resend: Resender = (...args) => traffic.resend(...args);
      const callPersistently: PersistentCallerStarter = (...args) =>
        traffic.callPersistently(...args);
      const run = (): unknown => step.run(deployment, resend, callPersistently);
      setTimeout(() => void Promise.resolve(run()), step.atMs);
    }
    await pause(spanMs);
    // Those that are asked for now could last longer than the soak.
    traffic.asksForLongStreams = false;
    await pause(SETTLING_MS);
    await traffic.stop();
    const finalCalls = await sendFinalCalls(deployment, calls, directoryResponses);
    const record: SoakRecord = {
      calls,
      directoryResponses,
      observations: deployment.observations,
      routers: deployment.routers,
      hasTenantQuotas,
      hasSilentEngines: options.hasSilentEngines,
      finalWeights: {
        published: deployment.publishedVersion,
        engines: weightsOf(deployment.fleet.running),
      },
      finalCalls,
    };
    const violations = judgeSoak(record);
    const names = steps.map(({ atMs, name }) => `${atMs} ms ${name}`);
    if (violations.length > 0)
      writeEvidence(folder, deployment, calls, directoryResponses, names, violations);
    const outcomes = countOutcomes(calls);
    const unread = countUnread(record);
    return { seed, calls: calls.length, outcomes, unread, steps: names, violations };
  } finally {
    await deployment.end();
  }
}

/** The callers of a soak. */
class Traffic {
  asksForLongStreams = true;
  private isEnded = false;
  private loops: Promise<void>[] = [];
  private resenderCount = 0;
  private persistentCount = 0;

  constructor(
    private readonly options: SoakOptions,
    private readonly deployment: Deployment,
    private readonly calls: CallRecord[],
    private readonly directoryResponses: DirectoryResponse[],
  ) {}

  start(): void {
    const { seed, callers } = this.options;
    this.loops = Array.from({ length: callers }, async (_, index) => {
      const random = new SeededRandom(seed * 1_000 + index);
      const { directories } = this.deployment;
      const name = `caller${index}`;
      const caller = new Caller(
        name,
        directories,
        KEYS,
        random,
        this.calls,
        this.directoryResponses,
        { asksForLongStreams: () => this.options.hasLongStreams && this.asksForLongStreams },
      );
      while (!this.isEnded) {
        await caller.call();
        await pause(random.next() * MAXIMUM_PAUSE_MS);
      }
      caller.close();
    });
  }

  /** Sends the same request repeatedly from a separate caller, with one key. */
  async resend(...[request, times, gapMs, takeUps]: Parameters<Resender>): Promise<void> {
    this.resenderCount += 1;
    const name = `again${this.resenderCount}`;
    const random = new SeededRandom(this.options.seed * 1_000 + 500 + this.resenderCount);
    const { directories } = this.deployment;
    const keys = PERMANENT_KEYS.slice(0, 1);
    const caller = new Caller(name, directories, keys, random, this.calls, this.directoryResponses);
    for (let count = 0; count < times && !this.isEnded; count += 1) {
      await caller.call(request, takeUps);
      await pause(gapMs);
    }
    caller.close();
  }

  /** Sends to one router, from callers of its own, until the process of the router has ended. */
  async callPersistently(index: number, seed: number): Promise<void> {
    const router = this.deployment.routers[index];
    if (!router) return;
    this.persistentCount += 1;
    const name = `persistent${this.persistentCount}`;
    const random = new SeededRandom(seed);
    const callers = new PersistentCallers(name, router, PERMANENT_KEYS, random, this.calls);
    const calls = callers.run();
    this.loops.push(calls);
    await calls;
  }

  async stop(): Promise<void> {
    this.isEnded = true;
    await Promise.all(this.loops);
  }
}

async function sendFinalCalls(
  deployment: Deployment,
  calls: CallRecord[],
  directoryResponses: DirectoryResponse[],
): Promise<CallRecord[]> {
  const finalCalls: CallRecord[] = [];
  const random = new SeededRandom(1);
  const caller = new Caller(
    'rest',
    deployment.directories,
    PERMANENT_KEYS,
    random,
    finalCalls,
    directoryResponses,
  );
  for (let count = 0; count < FINAL_CALLS; count += 1) await caller.call();
  caller.close();
  calls.push(...finalCalls);
  return finalCalls;
}

/** Waits until a request succeeds; rejects after a timeout. */
async function waitUntilServed(
  deployment: Deployment,
  calls: CallRecord[],
  directoryResponses: DirectoryResponse[],
): Promise<void> {
  const deadlineMs = Date.now() + STARTUP_TIMEOUT_MS;
  const random = new SeededRandom(1);
  const caller = new Caller(
    'start',
    deployment.directories,
    PERMANENT_KEYS,
    random,
    calls,
    directoryResponses,
  );
  while (Date.now() < deadlineMs) {
    await caller.call();
    if (calls.at(-1)?.status === 200) {
      caller.close();
      return;
    }
    await pause(MAXIMUM_PAUSE_MS);
  }
  throw new Error('no request succeeded before the startup timeout');
}

function countOutcomes(calls: readonly CallRecord[]): Map<string, number> {
  const outcomes = new Map<string, number>();
  for (const { status, failure } of calls) {
    const outcome = failure === undefined ? String(status) : `failed: ${failure}`;
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  }
  return outcomes;
}

function writeEvidence(
  folder: string,
  { observations, routers }: Deployment,
  calls: readonly CallRecord[],
  directoryResponses: readonly DirectoryResponse[],
  steps: readonly string[],
  violations: readonly Violation[],
): void {
  const disturbances = routers.map(
    ({ options, disturbances: spans, stops, firstStops, killsAfterGrace }) => ({
      router: options.name,
      spans,
      stops,
      firstStops,
      killsAfterGrace,
    }),
  );
  const evidence = {
    breaches: violations,
    steps,
    disturbances,
    calls,
    answers: directoryResponses,
    observations: { ...observations, drains: [...observations.drains] },
  };
  writeFileSync(join(folder, 'evidence.json'), JSON.stringify(evidence, undefined, 1));
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
