/** A seeded series of faults and planned work; they overlap. */
import type { RandomSource } from '../src/runtime/random.js';
import { randomElement, randomInteger } from '../src/runtime/random.js';
import { type CallKind, KINDS } from './callers.js';
import type { Deployment } from './deployment.js';
import { CRASHING_BODY, EngineBehavior } from './messages.js';
import { ENGINE_LIMIT_MAKERS } from './engine-limit-steps.js';
import { ENGINE_LIFE_MAKERS } from './engine-life-steps.js';
import { ENGINE_NOTICE_MAKERS } from './engine-notice-steps.js';
import { DisturbanceKind } from './router-process.js';
import { STORE_RESTORATION_MAKERS } from './store-restoration-steps.js';
import { ProxyMode } from './tcp-proxy.js';

/** Sends one request again and again, under new identifiers and to whatever routers are found. */
export type Resender = (
  request: { readonly kind: CallKind; readonly body: string },
  times: number,
  gapMs: number,
) => Promise<void>;

/** Something that is done to the deployment. */
export interface Step {
  /** From the start of the traffic, in milliseconds. */
  readonly atMs: number;
  readonly name: string;
  run(deployment: Deployment, resender: Resender): void | Promise<void>;
}

/** What a series is drawn for. */
export interface ScheduleOptions {
  readonly routers: number;
  readonly spanMs: number;
  readonly hasEngineLives: boolean;
  readonly hasEngineNotices: boolean;
  readonly hasEngineLimits: boolean;
  readonly hasStoreRestorations: boolean;
}

/** Routers that no unplanned fault strikes, so that something is served all the while. */
const SPARED_ROUTERS = 1;
const SHORTEST_MS = 300;
const LONGEST_MS = 5_000;
/** Longer than every bound of the deployment, with the slack of the oracle. */
const LONG_MS = 9_000;

/** Draws one step. */
export type Maker = (random: RandomSource, routers: number) => Omit<Step, 'atMs'>;

/** A router that faults may strike; the first ones are spared. */
function anyRouter(random: RandomSource, routers: number): number {
  return SPARED_ROUTERS + randomInteger(random, Math.max(1, routers - SPARED_ROUTERS));
}

function duration(random: RandomSource): number {
  return Math.round(SHORTEST_MS + random.next() * (LONGEST_MS - SHORTEST_MS));
}

/** The way of one router to the store is faulty for a while. */
function disturbStoreWay(
  deployment: Deployment,
  index: number,
  mode: ProxyMode,
  forMs: number,
): void {
  const disturbance = deployment.routers[index]?.disturb(DisturbanceKind.StoreWay);
  const proxy = deployment.storeProxy(index);
  proxy.mode = mode;
  setTimeout(() => {
    proxy.mode = ProxyMode.Pass;
    if (disturbance) disturbance.untilMs = Date.now();
  }, forMs);
}

const MAKERS: readonly Maker[] = [
  (random, routers) => {
    const index = anyRouter(random, routers);
    return { name: `stop router-${index}`, run: ({ routers: all }) => all[index]?.stop() };
  },
  (random, routers) => {
    const index = anyRouter(random, routers);
    // Longer than the directory may go on naming it.
    const downMs = random.next() < 0.5 ? duration(random) : LONG_MS;
    return {
      name: `kill router-${index} for ${downMs} ms`,
      run: ({ routers: all }) => all[index]?.kill(downMs),
    };
  },
  (random, routers) => {
    const index = anyRouter(random, routers);
    const forMs = duration(random);
    return {
      name: `freeze router-${index} for ${forMs} ms`,
      run: ({ routers: all }) => all[index]?.freeze(forMs),
    };
  },
  (_random, routers) => ({
    name: 'stop all routers in turn',
    run: async ({ routers: all }) => {
      for (let index = 0; index < routers; index += 1) {
        all[index]?.stop();
        await new Promise((resolve) => setTimeout(resolve, 1_500));
      }
    },
  }),
  (random) => ({
    name: 'reload the settings of all',
    run: ({ routers }) => {
      for (const router of routers) if (random.next() < 0.7) router.reload();
    },
  }),
  (random, routers) => {
    const index = anyRouter(random, routers);
    const forMs = duration(random);
    const modes = [ProxyMode.Silent, ProxyMode.OneWay, ProxyMode.Slow, ProxyMode.Reset];
    const mode = randomElement(random, modes) ?? ProxyMode.Silent;
    return {
      name: `store ${mode} for router-${index} for ${forMs} ms`,
      run: (deployment) => disturbStoreWay(deployment, index, mode, forMs),
    };
  },
  (random) => {
    const forMs = duration(random);
    const condition = random.next() < 0.5 ? 'silent' : 'busy';
    return {
      name: `store ${condition} for ${forMs} ms`,
      run: (deployment) => deployment.troubleStore(condition, forMs),
    };
  },
  (random) => {
    const delaysMs = Array.from({ length: 6 }, () => randomInteger(random, 900));
    return {
      name: `store forgets its history, lists late by ${delaysMs.join(',')}`,
      run: (deployment) => {
        deployment.tellStore({ kind: 'delay-lists', delaysMs });
        deployment.tellStore({ kind: 'compact' });
      },
    };
  },
  (random) => ({
    name: 'an engine is replaced as planned',
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
    const forMs = duration(random);
    const behavior = randomElement(random, Object.values(EngineBehavior)) ?? EngineBehavior.Busy;
    return {
      name: `an engine is ${behavior} for ${forMs} ms`,
      run: (deployment) => {
        const engine = randomElement(random, deployment.fleet.running);
        if (!engine) return;
        deployment.fleet.behave(engine, behavior);
        deployment.fleet.noteTrouble(forMs);
        setTimeout(() => deployment.fleet.behave(engine, EngineBehavior.Sound), forMs);
      },
    };
  },
  (random) => {
    const forMs = duration(random);
    const mode = randomElement(random, [ProxyMode.Silent, ProxyMode.Reset, ProxyMode.Slow]);
    return {
      name: `way to an engine ${mode ?? ''} for ${forMs} ms`,
      run: (deployment) => {
        const engine = randomElement(random, deployment.fleet.running);
        if (!engine || !mode) return;
        deployment.fleet.noteTrouble(forMs, engine);
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
    const index = anyRouter(random, routers);
    const key = randomElement(random, ['key-1b', 'key-2b']) ?? 'key-1b';
    return {
      name: `toggle ${key} while router-${index} has no way to the store`,
      run: async (deployment) => {
        disturbStoreWay(deployment, index, ProxyMode.Silent, LONG_MS);
        await deployment.toggleKey(key);
      },
    };
  },
  (random) => {
    const kind = randomElement(random, KINDS) ?? 'stream-once';
    // Some reach into the time after the last fault, when every router is held to its bounds.
    const times = 6 + randomInteger(random, 45);
    const gapMs = 50 + randomInteger(random, 700);
    const body = `${CRASHING_BODY}-${randomInteger(random, 2)}`;
    return {
      name: `${kind} that crashes engines, ${times} times each ${gapMs} ms`,
      run: (_deployment, resend) => resend({ kind, body }, times, gapMs),
    };
  },
  () => ({ name: 'name weights', run: (deployment) => deployment.nameWeights() }),
];

/**
 * Steps for a span; each comes up to two seconds after the one before.
 *
 * @param hasEngineLives whether engines restart under their names and odd entries are written, too; a seed
 *   that was found without these steps means the same series only without them
 * @param hasEngineNotices whether engines leave while the store is out, and ask for pauses; as above
 * @param hasEngineLimits whether engines name limits on requests a second; as above
 * @param hasStoreRestorations whether the store comes back from older copies of itself; as above
 */
export function makeSchedule(
  random: RandomSource,
  {
    routers,
    spanMs,
    hasEngineLives,
    hasEngineNotices,
    hasEngineLimits,
    hasStoreRestorations,
  }: ScheduleOptions,
): Step[] {
  const makers = [
    ...MAKERS,
    ...(hasEngineLives ? ENGINE_LIFE_MAKERS : []),
    ...(hasEngineNotices ? ENGINE_NOTICE_MAKERS : []),
    ...(hasEngineLimits ? ENGINE_LIMIT_MAKERS : []),
    ...(hasStoreRestorations ? STORE_RESTORATION_MAKERS : []),
  ];
  const MAXIMUM_GAP_MS = 2_000;
  const steps: Step[] = [];
  let atMs = 1_000;
  while (atMs < spanMs) {
    const make = randomElement(random, makers) as Maker;
    steps.push({ atMs, ...make(random, routers) });
    atMs += Math.round(random.next() * MAXIMUM_GAP_MS);
  }
  return steps;
}
