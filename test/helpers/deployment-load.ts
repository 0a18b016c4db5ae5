/** Load and engines of the deployments A and B of docs/LOAD-SHARING.md, for the placement harness. */
import type { EngineFleet, GenerationKind, PlacementScenario } from './placement-scenario.js';

const ENGINES_A: EngineFleet = {
  slots: 24,
  cacheTokens: 86_832,
  stepMs: 6.17,
  stepMsPerStream: 0.03,
  readTokensPerMs: 30.9,
  chunkTokens: 2_048,
  tokensPerEvent: 5,
  speeds: [0.6, 1, 1.6],
};
const ENGINES_B: EngineFleet = {
  slots: 64,
  cacheTokens: 105_930,
  stepMs: 3.09,
  stepMsPerStream: 0.1,
  readTokensPerMs: 56.9,
  chunkTokens: 2_048,
  tokensPerEvent: 8,
  speeds: [1, 1, 1.3],
};
const LONG_A: GenerationKind = {
  name: 'long',
  perSecond: 91,
  affinityKeyCount: 732,
  sharedTokens: 6_300,
  root: { count: 4, tokens: 2_520 },
  ownTokens: 2_890,
  outputTokens: 10,
  firstTokenObjectiveMs: 815,
  maximumPauseMs: 500,
  priority: 1,
};
const SHORT_A: GenerationKind = {
  name: 'short',
  perSecond: 125,
  affinityKeyCount: 732,
  sharedTokens: 198,
  ownTokens: 628,
  outputTokens: 58,
  firstTokenObjectiveMs: 1_007,
  maximumPauseMs: 500,
  priority: 0,
};
const LONG_B: GenerationKind = {
  ...LONG_A,
  perSecond: 117,
  affinityKeyCount: 1_263,
  outputTokens: 7,
  firstTokenObjectiveMs: 1_215,
  maximumPauseMs: 600,
  priority: 2,
};
const SHORT_B: GenerationKind = {
  ...SHORT_A,
  perSecond: 139,
  affinityKeyCount: 1_263,
  outputTokens: 36,
  firstTokenObjectiveMs: 407,
  maximumPauseMs: 600,
};

/** Noise of the engines of deployment A. */
const NOISE = { factor: 2.5, share: 1 / 7, periodMs: 600 };
/** One subject takes a third of the long prompts. */
const HOT_KEY = { share: 0.33, fromMs: 2_000, untilMs: 8_000 };

const BASE_A = { routers: 84, engines: 63, zones: 3, reportPeriodMs: 100 };
const BASE_B = { routers: 89, engines: 42, zones: 3, reportPeriodMs: 100 };

/** Gap objective of the routes. */
export const GAP_OBJECTIVE_A_MS = 500;
export const GAP_OBJECTIVE_B_MS = 600;

/** Variations of the load of deployment A. */
export interface VariationOfA {
  readonly isNoisy?: boolean;
  readonly hasHotSubject?: boolean;
  /** Factor of the request rates. */
  readonly load?: number;
}

/** Deployment A. */
export function deploymentA(
  seed: number,
  { isNoisy = false, hasHotSubject = false, load = 1 }: VariationOfA = {},
): PlacementScenario {
  const fleet = isNoisy ? { ...ENGINES_A, noise: NOISE } : ENGINES_A;
  const long = hasHotSubject ? { ...LONG_A, hotKey: HOT_KEY } : LONG_A;
  return { ...BASE_A, seed, fleet, kinds: [atLoad(long, load), atLoad(SHORT_A, load)] };
}

/** Deployment B. */
export function deploymentB(seed: number, load = 1): PlacementScenario {
  return {
    ...BASE_B,
    seed,
    fleet: ENGINES_B,
    kinds: [atLoad(LONG_B, load), atLoad(SHORT_B, load)],
  };
}

function atLoad(kind: GenerationKind, load: number): GenerationKind {
  return { ...kind, perSecond: kind.perSecond * load };
}
