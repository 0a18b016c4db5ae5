/**
 * `npm run soak -- --seed S --runs N --seconds T`: runs soaks of real processes. Exits with
 * status 1 if a promise was broken.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { BUNDLE, type SoakResult, runSoak } from './soak-run.js';

const options = await yargs(hideBin(process.argv))
  .scriptName('soak')
  .strict()
  .option('seed', { type: 'number', default: 1, describe: 'seed of the first run' })
  .option('runs', {
    type: 'number',
    default: 1,
    describe: 'number of runs, with consecutive seeds',
  })
  .option('seconds', { type: 'number', default: 20, describe: 'duration of the faults of a run' })
  .option('routers', { type: 'number', default: 4, describe: 'number of router processes' })
  .option('callers', {
    type: 'number',
    default: 12,
    describe: 'number of callers; each sends one request at a time',
  })
  .option('jobs', { type: 'number', default: 1, describe: 'number of parallel runs' })
  .option('engine-lives', {
    type: 'boolean',
    default: true,
    describe: 'restart engines under their names and write malformed entries',
  })
  .option('engine-notices', {
    type: 'boolean',
    default: true,
    describe: 'drain engines during store outages and reject requests with retry delays',
  })
  .option('engine-limits', {
    type: 'boolean',
    default: true,
    describe: 'let engines announce limits on requests per second',
  })
  .option('store-restorations', {
    type: 'boolean',
    default: true,
    describe: 'restore the store from older copies of itself',
  })
  .option('engine-cuts', {
    type: 'boolean',
    default: true,
    describe: 'cut routers off from all engines',
  })
  .option('brittle-engines', {
    type: 'boolean',
    default: false,
    describe: 'give plain engines few slots and let them fail when they reject too many requests',
  })
  .option('crashing-parts', {
    type: 'boolean',
    default: false,
    describe: 'let engines crash on parts of prompts',
  })
  .option('tenant-quotas', {
    type: 'boolean',
    default: false,
    describe: 'give a tenant a limit, and let it exceed it while routers pause',
  })
  .option('silent-engines', {
    type: 'boolean',
    default: false,
    describe: 'let sound engines be silent for a while beside planned operations',
  })
  .option('spoiled-responses', {
    type: 'boolean',
    default: false,
    describe: 'let engines spoil the heads of responses, and kill all routers at once',
  })
  .option('early-ends', {
    type: 'boolean',
    default: false,
    describe: 'let engines end responses without a length early and in order',
  })
  .option('build-releases', {
    type: 'boolean',
    default: false,
    describe:
      'let builds of engines come and go while the store is faulty and all routers are killed',
  })
  .option('contradicted-responses', {
    type: 'boolean',
    default: false,
    describe:
      'let engines send responses behind cut heads and answer requests for the rest of streams wrongly',
  })
  .option('long-streams', {
    type: 'boolean',
    default: false,
    describe:
      'let streams last for seconds, and stop routers that are short of processor time under callers that keep sending',
  })
  .option('odd-entries', {
    type: 'boolean',
    default: false,
    describe: 'write entries that are deeply nested, or have odd numbers or ports',
  })
  .option('client-crowds', {
    type: 'boolean',
    default: false,
    describe: 'let crowds of clients that do not behave come to routers',
  })
  .option('joint-crashes', {
    type: 'boolean',
    default: false,
    describe: 'let all plain engines crash at once while a popular read is in progress',
  })
  .option('changing-isolation', {
    type: 'boolean',
    default: false,
    describe: 'isolate tenants and let them share cached prompts again',
  })
  .option('program', {
    type: 'string',
    array: true,
    default: [BUNDLE],
    describe:
      "builds of the routers' program, run side by side; a restarted router uses the next one",
  })
  .parseAsync();

function report({ seed, calls, outcomes, unread, violations }: SoakResult, folder: string): void {
  const counts = [...outcomes].map(([outcome, count]) => `${outcome}: ${count}`).join(', ');
  process.stdout.write(
    `seed ${seed}: ${calls} calls, ${violations.length} broken, ${unread} not read; ${counts}\n`,
  );
  for (const { promise, detail } of violations.slice(0, 10)) {
    process.stdout.write(`  ${promise}: ${detail}\n`);
  }
  if (violations.length > 0) process.stdout.write(`  evidence and logs: ${folder}\n`);
}

let nextRun = 0;
let failedRuns = 0;

/** Runs seeds one after the other until none is left. */
async function runSeeds(): Promise<void> {
  while (nextRun < options.runs) {
    const seed = options.seed + nextRun;
    nextRun += 1;
    const folder = mkdtempSync(join(tmpdir(), `peatspan-soak-${seed}-`));
    const result = await runSoak({
      seed,
      spanMs: options.seconds * 1_000,
      routers: options.routers,
      hasEngineLives: options.engineLives,
      hasEngineNotices: options.engineNotices,
      hasEngineLimits: options.engineLimits,
      hasStoreRestorations: options.storeRestorations,
      hasEngineCuts: options.engineCuts,
      hasBrittleEngines: options.brittleEngines,
      hasCrashingParts: options.crashingParts,
      hasTenantQuotas: options.tenantQuotas,
      hasSilentEngines: options.silentEngines,
      hasSpoiledResponses: options.spoiledResponses,
      hasEarlyEnds: options.earlyEnds,
      hasBuildReleases: options.buildReleases,
      hasContradictedResponses: options.contradictedResponses,
      hasLongStreams: options.longStreams,
      hasOddEntries: options.oddEntries,
      hasClientCrowds: options.clientCrowds,
      hasJointCrashes: options.jointCrashes,
      hasChangingIsolation: options.changingIsolation,
      callers: options.callers,
      folder,
      programs: options.program,
    });
    report(result, folder);
    if (result.violations.length > 0) failedRuns += 1;
  }
}

await Promise.all(Array.from({ length: options.jobs }, () => runSeeds()));
process.stdout.write(`${options.runs} runs, ${failedRuns} with a broken promise\n`);
process.exitCode = failedRuns > 0 ? 1 : 0;
