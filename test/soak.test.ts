/** Short soaks of real processes, which must not break a promise under faults. */
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { buildCommit, productionCommit } from '../soak/earlier-build.js';
import type { Violation } from '../soak/oracle.js';
import { BUNDLE, runSoak } from '../soak/soak-run.js';

/** A seed with which a promise was broken. */
interface RegressionSeed {
  readonly seed: number;
  readonly seconds: number;
  readonly routers: number;
  /** Whether engines restart under their names; absent if the seed was found without. */
  readonly hasEngineLives?: boolean;
  /** Whether engines drain during store outages and request retry delays; likewise. */
  readonly hasEngineNotices?: boolean;
  /** Whether engines announce limits on requests per second; likewise. */
  readonly hasEngineLimits?: boolean;
  /** Whether the store is restored from older copies of itself; likewise. */
  readonly hasStoreRestorations?: boolean;
  /** Whether routers are cut off from all engines; likewise. */
  readonly hasEngineCuts?: boolean;
  /** Whether plain engines are brittle; likewise. */
  readonly hasBrittleEngines?: boolean;
  /** Whether engines crash on parts of prompts; likewise. */
  readonly hasCrashingParts?: boolean;
  /** Whether a tenant exceeds its limit while routers pause. */
  readonly hasTenantQuotas?: boolean;
  /** Whether sound engines are silent for a while; likewise. */
  readonly hasSilentEngines?: boolean;
  /** Whether engines spoil the heads of responses and all routers are killed at once; likewise. */
  readonly hasSpoiledResponses?: boolean;
  readonly hasBuildReleases?: boolean;
  /** Whether engines contradict their responses; likewise. */
  readonly hasContradictedResponses?: boolean;
  readonly hasEarlyEnds?: boolean;
  /** Whether streams last for seconds; likewise. */
  readonly hasLongStreams?: boolean;
  /** Whether another program writes odd entries; likewise. */
  readonly hasOddEntries?: boolean;
  /** Whether clients that do not behave come to routers; likewise. */
  readonly hasClientCrowds?: boolean;
  /** Whether all plain engines crash at once during a popular read; likewise. */
  readonly hasJointCrashes?: boolean;
  /** Whether configurations isolate tenants and let them share again; likewise. */
  readonly hasChangingIsolation?: boolean;
  /** Whether routers run the production build and the current build side by side. */
  readonly isMixed?: boolean;
  /** Promise that a run breaks at times for an open fault that KNOWN-RED.txt lists. */
  readonly knownRed?: string;
  /** Cause of the broken promise. */
  readonly cause: string;
}

const REGRESSIONS = JSON.parse(
  readFileSync(new URL('../../soak/regression-seeds.json', import.meta.url), 'utf8'),
) as RegressionSeed[];
const FIRST: RegressionSeed = {
  seed: 1,
  seconds: 16,
  routers: 4,
  hasEngineLives: true,
  cause: 'none: the short soak',
};
const NOTICES: RegressionSeed = {
  seed: 2,
  seconds: 14,
  routers: 4,
  hasEngineNotices: true,
  cause: 'none: the short soak of notices in engine responses',
};

const LIMITS: RegressionSeed = {
  seed: 7,
  seconds: 14,
  routers: 4,
  hasEngineLimits: true,
  cause: 'none: the short soak of rate limits',
};
const RESTORATIONS: RegressionSeed = {
  seed: 3,
  seconds: 14,
  routers: 4,
  hasStoreRestorations: true,
  cause: 'none: the short soak of store restorations',
};
const CUTS: RegressionSeed = {
  seed: 5,
  seconds: 14,
  routers: 4,
  hasEngineCuts: true,
  cause: 'none: the short soak of routers cut off from engines',
};
const BRITTLE: RegressionSeed = {
  seed: 8,
  seconds: 14,
  routers: 4,
  hasBrittleEngines: true,
  cause: 'none: the short soak of brittle engines',
};
const CRASHING_PARTS: RegressionSeed = {
  seed: 9,
  seconds: 14,
  routers: 4,
  hasCrashingParts: true,
  cause: 'none: the short soak of prompt parts that crash engines',
};
const TENANT_QUOTAS: RegressionSeed = {
  seed: 14,
  seconds: 14,
  routers: 4,
  hasTenantQuotas: true,
  cause: 'none: the short soak of a tenant far above its limit',
};
const SILENT_ENGINES: RegressionSeed = {
  seed: 15,
  seconds: 14,
  routers: 4,
  hasSilentEngines: true,
  cause: 'none: the short soak of silent engines',
};
const SPOILED_RESPONSES: RegressionSeed = {
  seed: 16,
  seconds: 14,
  routers: 4,
  hasSpoiledResponses: true,
  cause: 'none: the short soak of spoiled responses and outages of all routers',
};
const LONG_STREAMS: RegressionSeed = {
  seed: 4,
  seconds: 14,
  routers: 4,
  hasLongStreams: true,
  cause: 'none: the short soak of streams that a stopping router cannot finish',
};
const ODD_ENTRIES: RegressionSeed = {
  seed: 23,
  seconds: 14,
  // Enough for readers, which read the store for the others.
  routers: 14,
  hasOddEntries: true,
  cause: 'readers ended as they relayed a deeply nested entry',
};
const CLIENT_CROWDS: RegressionSeed = {
  seed: 88,
  seconds: 14,
  routers: 4,
  hasClientCrowds: true,
  cause: 'none: the short soak of clients that do not behave',
};
const JOINT_CRASHES: RegressionSeed = {
  seed: 91,
  seconds: 14,
  routers: 4,
  hasJointCrashes: true,
  cause: 'none: the short soak of engines that crash together during a popular read',
};
const CHANGING_ISOLATION: RegressionSeed = {
  seed: 92,
  seconds: 14,
  routers: 4,
  hasChangingIsolation: true,
  cause: 'none: the short soak of tenants that are isolated and share again',
};
/** Without restorations of the store, because the earlier build does not support store eras. */
const MIXED: RegressionSeed = {
  seed: 4,
  seconds: 14,
  routers: 4,
  hasEngineLives: true,
  hasEngineNotices: true,
  hasEngineLimits: true,
  isMixed: true,
  cause: 'none: the short soak of an upgrade',
};

for (const regression of [
  FIRST,
  NOTICES,
  LIMITS,
  RESTORATIONS,
  CUTS,
  BRITTLE,
  CRASHING_PARTS,
  TENANT_QUOTAS,
  SILENT_ENGINES,
  SPOILED_RESPONSES,
  LONG_STREAMS,
  ODD_ENTRIES,
  CLIENT_CROWDS,
  JOINT_CRASHES,
  CHANGING_ISOLATION,
  MIXED,
  ...REGRESSIONS,
]) {
  const { seed, seconds, routers, cause, knownRed } = regression;
  const { hasEngineLives = false, hasEngineNotices = false } = regression;
  const { hasEngineLimits = false, hasStoreRestorations = false, isMixed = false } = regression;
  const { hasEngineCuts = false, hasBrittleEngines = false } = regression;
  const {
    hasCrashingParts = false,
    hasTenantQuotas = false,
    hasSilentEngines = false,
    hasSpoiledResponses = false,
    hasBuildReleases = false,
    hasContradictedResponses = false,
    hasEarlyEnds = false,
    hasLongStreams = false,
    hasOddEntries = false,
    hasClientCrowds = false,
    hasJointCrashes = false,
    hasChangingIsolation = false,
  } = regression;
  test.serial(`no promise is broken in a soak with seed ${seed} (${cause})`, async (t) => {
    t.timeout(170_000);
    const folder = mkdtempSync(join(tmpdir(), `peatspan-soak-${seed}-`));
    const spanMs = seconds * 1_000;
    const earlier = isMixed ? buildCommit(productionCommit()) : undefined;
    const result = await runSoak({
      seed,
      spanMs,
      routers,
      hasEngineLives,
      hasEngineNotices,
      hasEngineLimits,
      hasStoreRestorations,
      hasEngineCuts,
      hasBrittleEngines,
      hasCrashingParts,
      hasTenantQuotas,
      hasSilentEngines,
      hasSpoiledResponses,
      hasBuildReleases,
      hasContradictedResponses,
      hasOddEntries,
      hasClientCrowds,
      hasJointCrashes,
      hasChangingIsolation,
      hasEarlyEnds,
      hasLongStreams,
      callers: 8,
      folder,
      programs: earlier ? [earlier.program, BUNDLE] : [BUNDLE],
    });
    const isKnown = ({ promise }: Violation): boolean => promise === knownRed;
    for (const { promise, detail } of result.violations.filter(isKnown)) {
      t.log(`known red, passed over: ${promise}: ${detail}`);
    }
    const violations = result.violations.filter((violation) => !isKnown(violation));
    t.deepEqual(violations, [], `evidence and logs: ${folder}`);
    t.true(result.calls > 0);
    rmSync(folder, { recursive: true });
    if (earlier) rmSync(earlier.folder, { recursive: true });
  });
}
