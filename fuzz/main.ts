/** `npm run fuzz -- --minutes N [--seed S] [--runs R]`: runs the fuzz test for a given time. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { fuzz } from './run.js';

const MS_PER_MINUTE = 60_000;
const UNLIMITED_RUNS = 1_000_000;

const argv = await yargs(hideBin(process.argv))
  .scriptName('fuzz')
  .option('minutes', { type: 'number', default: 1 })
  .option('seed', { type: 'number', default: Date.now() % 1_000_000_000 })
  .option('runs', { type: 'number', default: UNLIMITED_RUNS })
  .strict()
  .parseAsync();

process.stdout.write(`fuzz: seed ${argv.seed}, at most ${argv.minutes} minutes\n`);
const startedMs = performance.now();
const result = await fuzz({
  seed: argv.seed,
  runs: argv.runs,
  timeLimitMs: argv.minutes * MS_PER_MINUTE,
});
const seconds = ((performance.now() - startedMs) / 1_000).toFixed(1);
process.stdout.write(`${result.kind} after ${result.runs} runs in ${seconds} s\n`);
if (result.kind === 'failed') {
  process.stdout.write(`${result.report}\n`);
  process.exitCode = 1;
}
