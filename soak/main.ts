/** `npm run soak -- --seed S --runs N --seconds T`: soaks real processes; status 1 where a promise was broken. */
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
  .option('runs', { type: 'number', default: 1, describe: 'runs, each with the next seed' })
  .option('seconds', { type: 'number', default: 20, describe: 'length of the faults of a run' })
  .option('routers', { type: 'number', default: 4, describe: 'routers, each a process' })
  .option('callers', { type: 'number', default: 12, describe: 'callers, each sends in turn' })
  .option('jobs', { type: 'number', default: 1, describe: 'runs beside each other' })
  .option('engine-lives', {
    type: 'boolean',
    default: true,
    describe: 'whether engines restart under their names and odd entries are written',
  })
  .option('engine-notices', {
    type: 'boolean',
    default: true,
    describe: 'whether engines leave while the store is out, and ask for pauses',
  })
  .option('engine-limits', {
    type: 'boolean',
    default: true,
    describe: 'whether engines name limits on requests a second',
  })
  .option('store-restorations', {
    type: 'boolean',
    default: true,
    describe: 'whether the store comes back from older copies of itself',
  })
  .option('program', {
    type: 'string',
    array: true,
    default: [BUNDLE],
    describe:
      "builds of the routers' program, which run side by side; a router starts again with the next",
  })
  .parseAsync();

function report({ seed, calls, outcomes, breaches }: SoakResult, folder: string): void {
  const counts = [...outcomes].map(([outcome, count]) => `${outcome}: ${count}`).join(', ');
  process.stdout.write(`seed ${seed}: ${calls} calls, ${breaches.length} broken; ${counts}\n`);
  for (const { promise, detail } of breaches.slice(0, 10)) {
    process.stdout.write(`  ${promise}: ${detail}\n`);
  }
  if (breaches.length > 0) process.stdout.write(`  evidence and logs: ${folder}\n`);
}

let next = 0;
let broken = 0;

/** Takes one seed after the other until none is left. */
async function work(): Promise<void> {
  while (next < options.runs) {
    const seed = options.seed + next;
    next += 1;
    const folder = mkdtempSync(join(tmpdir(), `peatspan-soak-${seed}-`));
    const result = await runSoak({
      seed,
      spanMs: options.seconds * 1_000,
      routers: options.routers,
      hasEngineLives: options.engineLives,
      hasEngineNotices: options.engineNotices,
      hasEngineLimits: options.engineLimits,
      hasStoreRestorations: options.storeRestorations,
      callers: options.callers,
      folder,
      programs: options.program,
    });
    report(result, folder);
    if (result.breaches.length > 0) broken += 1;
  }
}

await Promise.all(Array.from({ length: options.jobs }, () => work()));
process.stdout.write(`${options.runs} runs, ${broken} with a broken promise\n`);
process.exitCode = broken > 0 ? 1 : 0;
