/** A seeded schedule of overlapping faults and planned operations. */
import type { RandomSource } from '../src/runtime/random.js';
import { randomElement, randomInteger } from '../src/runtime/random.js';
import { CALL_KINDS, type RepeatedCall } from './callers.js';
import type { Deployment } from './deployment.js';
import { CRASHING_BODY_PREFIX, EngineBehavior } from './messages.js';
import {
  BUILD_RELEASE_STEPS,
  FIRST_RELEASE_MS,
  RELEASE_SPAN_MS,
  drawFirstRelease,
} from './build-release-steps.js';
import { CLIENT_CROWD_STEPS } from './client-crowd-steps.js';
import { BRITTLE_ENGINE_STEPS } from './brittle-engine-steps.js';
import { ODD_ENTRY_STEPS } from './odd-entry-steps.js';
import { CONTRADICTED_RESPONSE_STEPS } from './contradicted-response-steps.js';
import { CRASHING_PART_STEPS } from './crashing-part-steps.js';
import { ENGINE_CUT_STEPS } from './engine-cut-steps.js';
import { ENGINE_LIMIT_STEPS } from './engine-limit-steps.js';
import { ENGINE_RESTART_STEPS } from './engine-restart-steps.js';
import { ENGINE_NOTICE_STEPS } from './engine-notice-steps.js';
import {
  FIRST_LONG_STOP_MS,
  LONG_STOP_SPAN_MS,
  LONG_STREAM_STEPS,
  drawFirstLongStop,
} from './long-stream-steps.js';
import { ISOLATION_STEPS } from './isolation-steps.js';
import { JOINT_CRASH_STEPS } from './joint-crash-steps.js';
import { DisturbanceKind } from './router-process.js';
import { EARLY_END_STEPS, SPOILED_RESPONSE_STEPS } from './spoiled-response-steps.js';
import { SILENT_ENGINE_STEPS } from './silent-engine-steps.js';
import { STORE_RESTORATION_STEPS } from './store-restoration-steps.js';
import { ProxyMode } from './tcp-proxy.js';
import { TENANT_QUOTA_STEPS } from './tenant-quota-steps.js';

/**
 * Sends a request repeatedly, with new identifiers, to routers that the directory lists. Each stream that
 * is broken off is taken up until it goes on, at most `takeUps` times (by default once).
 */
export type Resender = (
  request: RepeatedCall,
  times: number,
  gapMs: number,
  takeUps?: number,
) => Promise<void>;

/** Starts callers that send to a router until its process has ended. */
export type PersistentCallerStarter = (router: number, seed: number) => Promise<void>;

/** A fault or operation on the deployment. */
export interface Step {
  /** Time since the start of the traffic. */
  readonly atMs: number;
  readonly name: string;
  run(
    deployment: Deployment,
    resender: Resender,
    callPersistently: PersistentCallerStarter,
  ): void | Promise<void>;
}

/** Options of a schedule. */
export interface ScheduleOptions {
  readonly routers: number;
  readonly spanMs: number;
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
  /** Whether a tenant exceeds its limit while routers pause. */
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
}

/** Number of routers without unplanned faults, so that some requests succeed at all times. */
const PROTECTED_ROUTERS = 1;
const MINIMUM_FAULT_MS = 300;
const MAXIMUM_FAULT_MS = 5_000;
/** Longer than each bound of the deployment plus the slack of the oracle. */
const LONG_FAULT_MS = 9_000;

/** Draws one step. */
export type StepFactory = (random: RandomSource, routers: number) => Omit<Step, 'atMs'>;

/** Draws a router that is not protected from faults. */
function drawRouter(random: RandomSource, routers: number): number {
  return PROTECTED_ROUTERS + randomInteger(random, Math.max(1, routers - PROTECTED_ROUTERS));
}

function drawDuration(random: RandomSource): number {
  return Math.round(MINIMUM_FAULT_MS + random.next() * (MAXIMUM_FAULT_MS - MINIMUM_FAULT_MS));
}

/** Makes one router's link to the store faulty for a while. */
function disturbStoreLink(
  deployment: Deployment,
  index: number,
  mode: ProxyMode,
  forMs: number,
): void {
  const disturbance = deployment.routers[index]?.disturb(DisturbanceKind.StoreLink);
  const proxy = deployment.storeProxy(index);
  proxy.mode = mode;
  setTimeout(() => {
    proxy.mode = ProxyMode.Pass;
    if (disturbance) disturbance.untilMs = Date.now();
  }, forMs);
}

/** Behaviors of every soak; others have steps of their own, so that the seeds before them stay as they are. */
const COMMON_BEHAVIORS = [
  EngineBehavior.Healthy,
  EngineBehavior.Busy,
  EngineBehavior.Failing,
  EngineBehavior.Truncating,
  EngineBehavior.Hanging,
] as const;

const COMMON_STEPS: readonly StepFactory[] = [
  (random, routers) => {
    const index = drawRouter(random, routers);
    return { name: `stop router-${index}`, run: ({ routers: all }) => all[index]?.stop() };
  },
  (random, routers) => {
    const index = drawRouter(random, routers);
    // The longer time exceeds the bound on listing a dead router in the directory.
    const downMs = random.next() < 0.5 ? drawDuration(random) : LONG_FAULT_MS;
    return {
      name: `kill router-${index} for ${downMs} ms`,
      run: ({ routers: all }) => all[index]?.kill(downMs),
    };
  },
  (random, routers) => {
    const index = drawRouter(random, routers);
    const forMs = drawDuration(random);
    return {
      name: `freeze router-${index} for ${forMs} ms`,
      run: ({ routers: all }) => all[index]?.freeze(forMs),
    };
  },
  (_random, routers) => ({
    name: 'stop all routers one by one',
    run: async ({ routers: all }) => {
      for (let index = 0; index < routers; index += 1) {
        all[index]?.stop();
        await new Promise((resolve) => setTimeout(resolve, 1_500));
      }
    },
  }),
  (random) => ({
    name: 'reload the settings of most routers',
    run: ({ routers }) => {
      for (const router of routers) if (random.next() < 0.7) router.reload();
    },
  }),
  (random, routers) => {
    const index = drawRouter(random, routers);
    const forMs = drawDuration(random);
    const modes = [ProxyMode.Blackhole, ProxyMode.OneWay, ProxyMode.Slow, ProxyMode.Reset];
    const mode = randomElement(random, modes) ?? ProxyMode.Blackhole;
    return {
      name: `store ${mode} for router-${index} for ${forMs} ms`,
      run: (deployment) => disturbStoreLink(deployment, index, mode, forMs),
    };
  },
  (random) => {
    const forMs = drawDuration(random);
    const condition = random.next() < 0.5 ? 'silent' : 'busy';
    return {
      name: `store ${condition} for ${forMs} ms`,
      run: (deployment) => deployment.disruptStore(condition, forMs),
    };
  },
  (random) => {
    const delaysMs = Array.from({ length: 6 }, () => randomInteger(random, 900));
    return {
      name: `store drops its history, lists delayed by ${delaysMs.join(',')} ms`,
      run: (deployment) => {
        deployment.sendToStore({ kind: 'delay-lists', delaysMs });
        deployment.sendToStore({ kind: 'compact' });
      },
    };
  },
  (random) => ({
    name: 'an engine is drained and replaced',
    run: (deployment) => {
      const engine = randomElement(random, deployment.fleet.running);
      return engine && deployment.fleet.replace(engine);
    },
  }),
  (random) => ({
    name: 'an engine crashes',
    run: (deployment) => {
      const engine = randomElement(random, deployment.fleet.running);
      return engine && deployment.fleet.crash(engine);
    },
  }),
  (random) => {
    const forMs = drawDuration(random);
    const behavior = randomElement(random, COMMON_BEHAVIORS) ?? EngineBehavior.Busy;
    return {
      name: `an engine is ${behavior} for ${forMs} ms`,
      run: (deployment) => {
        const engine = randomElement(random, deployment.fleet.running);
        if (!engine) return;
        deployment.fleet.setBehavior(engine, behavior);
        deployment.fleet.recordFault(forMs);
        setTimeout(() => deployment.fleet.setBehavior(engine, EngineBehavior.Healthy), forMs);
      },
    };
  },
  (random) => {
    const forMs = drawDuration(random);
    const mode = randomElement(random, [ProxyMode.Blackhole, ProxyMode.Reset, ProxyMode.Slow]);
    return {
      name: `link to an engine ${mode ?? ''} for ${forMs} ms`,
      run: (deployment) => {
        const engine = randomElement(random, deployment.fleet.running);
        if (!engine || !mode) return;
        deployment.fleet.recordFault(forMs, engine);
        engine.proxy.mode = mode;
        setTimeout(() => (engine.proxy.mode = ProxyMode.Pass), forMs);
      },
    };
  },
  (random) => {
    const key = randomElement(random, ['key-1b', 'key-2b']) ?? 'key-1b';
    return { name: `toggle ${key}`, run: (deployment) => deployment.toggleKey(key) };
  },
  (random, routers) => {
    const index = drawRouter(random, routers);
    const key = randomElement(random, ['key-1b', 'key-2b']) ?? 'key-1b';
    return {
      name: `toggle ${key} while router-${index} cannot reach the store`,
      run: async (deployment) => {
        disturbStoreLink(deployment, index, ProxyMode.Blackhole, LONG_FAULT_MS);
        await deployment.toggleKey(key);
      },
    };
  },
  (random) => {
    const kind = randomElement(random, CALL_KINDS) ?? 'stream-once';
    // Some runs extend beyond the last fault, when no router is exempt from its bounds.
    const times = 6 + randomInteger(random, 45);
    const gapMs = 50 + randomInteger(random, 700);
    const body = `${CRASHING_BODY_PREFIX}-${randomInteger(random, 2)}`;
    return {
      name: `${kind} that crashes engines, ${times} times, every ${gapMs} ms`,
      run: (_deployment, resend) => resend({ kind, body }, times, gapMs),
    };
  },
  () => ({ name: 'publish weights', run: (deployment) => deployment.publishWeights() }),
];

/** Steps beside the common ones, by the option that turns them on. */
const OPTIONAL_STEPS = [
  ['hasEngineLives', ENGINE_RESTART_STEPS],
  ['hasEngineNotices', ENGINE_NOTICE_STEPS],
  ['hasEngineLimits', ENGINE_LIMIT_STEPS],
  ['hasStoreRestorations', STORE_RESTORATION_STEPS],
  ['hasEngineCuts', ENGINE_CUT_STEPS],
  ['hasBrittleEngines', BRITTLE_ENGINE_STEPS],
  ['hasCrashingParts', CRASHING_PART_STEPS],
  ['hasTenantQuotas', TENANT_QUOTA_STEPS],
  ['hasSilentEngines', SILENT_ENGINE_STEPS],
  ['hasSpoiledResponses', SPOILED_RESPONSE_STEPS],
  ['hasEarlyEnds', EARLY_END_STEPS],
  ['hasBuildReleases', BUILD_RELEASE_STEPS],
  ['hasContradictedResponses', CONTRADICTED_RESPONSE_STEPS],
  ['hasLongStreams', LONG_STREAM_STEPS],
  ['hasOddEntries', ODD_ENTRY_STEPS],
  ['hasClientCrowds', CLIENT_CROWD_STEPS],
  ['hasJointCrashes', JOINT_CRASH_STEPS],
  ['hasChangingIsolation', ISOLATION_STEPS],
] as const;

/**
 * Draws the steps of a schedule; each follows the previous one within two seconds. A seed gives the
 * same steps only with the same options.
 */
export function makeSchedule(random: RandomSource, options: ScheduleOptions): Step[] {
  const { spanMs } = options;
  const factories: StepFactory[] = [
    ...COMMON_STEPS,
    ...OPTIONAL_STEPS.flatMap(([option, steps]) => (options[option] ? steps : [])),
  ];
  const MAXIMUM_GAP_MS = 2_000;
  const { firstSteps, endMs } = drawFirstSteps(random, options);
  const steps = [...firstSteps];
  let atMs = endMs;
  while (atMs < spanMs) {
    const createStep = randomElement(random, factories) as StepFactory;
    steps.push({ atMs, ...createStep(random, options.routers) });
    atMs += Math.round(random.next() * MAXIMUM_GAP_MS);
  }
  return steps;
}

/** The steps that come before all others, and when those others begin. */
function drawFirstSteps(
  random: RandomSource,
  { routers, hasBuildReleases, hasLongStreams }: ScheduleOptions,
): { readonly firstSteps: readonly Step[]; readonly endMs: number } {
  const releases = hasBuildReleases ? [drawFirstRelease(random, routers)] : [];
  const stops = hasLongStreams ? [drawFirstLongStop(random, routers)] : [];
  const endMs = Math.max(
    1_000,
    hasBuildReleases ? FIRST_RELEASE_MS + RELEASE_SPAN_MS : 0,
    hasLongStreams ? FIRST_LONG_STOP_MS + LONG_STOP_SPAN_MS : 0,
  );
  return { firstSteps: [...releases, ...stops], endMs };
}
