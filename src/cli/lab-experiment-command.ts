/** `peatspan lab experiment`: compares routing policies on the same sequence of requests. */
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import type { Argv } from 'yargs';
import { z } from 'zod';
import {
  type Experiment,
  POLICY_NAMES,
  type PolicyResult,
  type PolicyName,
  runPolicy,
} from '../lab/experiment/experiment-run.js';
import { profileOf } from '../programs/sample-profile.js';
import { readDeployment } from '../programs/lab-up.js';
import { engineSettingsOf } from '../programs/simulated-programs.js';
import { checkSettings, readYaml } from '../settings/load-settings.js';

const experimentSchema = z.strictObject({
  name: z.string().min(1),
  /** Directory of the deployment, relative to the experiment file. */
  deployment: z.string().min(1),
  requests_per_second: z.number().positive(),
  seconds: z.number().positive(),
  warm_up_seconds: z.number().min(0).default(10),
  shift_seconds: z.number().min(0).default(0),
  recompute_weight: z.number().min(0).max(1),
  /** Cache blocks per engine, as a share of the number in the deployment file. */
  cache_share: z.number().positive().default(1),
});

/** Adds the command `lab experiment`. */
export function addExperimentCommand(yargs: Argv): Argv {
  return yargs.command(
    'experiment <file>',
    'compare routing policies on the same sequence of requests',
    (command) =>
      command
        .positional('file', {
          type: 'string',
          demandOption: true,
          describe: 'experiment file (YAML)',
        })
        .option('seed', { type: 'number', default: 1, describe: 'first seed' })
        .option('seeds', { type: 'number', default: 1, describe: 'number of seeds' })
        .option('policies', {
          type: 'array',
          string: true,
          choices: POLICY_NAMES,
          default: POLICY_NAMES,
          describe: 'policies to compare',
        })
        .option('out', { type: 'string', describe: 'directory for results.json' }),
    async (argv) => {
      const experiment = readExperiment(argv.file);
      const results: (PolicyResult & { seed: number })[] = [];
      for (let seed = argv.seed; seed < argv.seed + argv.seeds; seed += 1) {
        for (const policy of argv.policies as readonly PolicyName[]) {
          process.stderr.write(`seed ${seed}: ${policy}\n`);
          results.push({ seed, ...(await runPolicy(experiment, policy, seed)) });
        }
      }
      process.stdout.write(`${formatTable(results)}\n`);
      if (argv.out !== undefined) {
        mkdirSync(argv.out, { recursive: true });
        const file = path.join(argv.out, 'results.json');
        writeFileSync(file, `${JSON.stringify(results, undefined, 2)}\n`);
      }
    },
  );
}

function readExperiment(file: string): Experiment {
  const settings = checkSettings(experimentSchema, readYaml(file), file);
  const folder = path.resolve(path.dirname(file), settings.deployment);
  const { deployment, templates } = readDeployment(folder);
  const engines = deployment.engines.map((engine) => {
    const weightsDigest =
      templates.models[engine.model]?.versions[engine.version]?.weights_digest ?? '';
    const identity = { engineId: engine.id, model: engine.model, weightsDigest, adapterDigest: '' };
    const engineSettings = engineSettingsOf(identity, engine.behaviour);
    return {
      ...engineSettings,
      cacheBlocks: Math.ceil(engineSettings.cacheBlocks * settings.cache_share),
    };
  });
  return {
    engines,
    profiles: deployment.sample.callers.map(profileOf),
    requestsPerSecond: settings.requests_per_second,
    seconds: settings.seconds,
    shiftSeconds: settings.shift_seconds,
    warmUpSeconds: settings.warm_up_seconds,
    recomputeWeight: settings.recompute_weight,
  };
}

/** Formats the median over the seeds, followed by the range in parentheses. */
function formatTable(results: readonly PolicyResult[]): string {
  const PERCENT = 100;
  const header =
    'policy             hit rate %           wasted %             p50 ms               p99 ms               errors';
  const comparedPolicies = POLICY_NAMES.filter((policy) =>
    results.some((row) => row.policy === policy),
  );
  const lines = comparedPolicies.map((policy) => {
    const rows = results.filter((row) => row.policy === policy);
    const formatCell = (read: (row: PolicyResult) => number): string =>
      formatMedianAndRange(rows.map(read)).padEnd(20);
    return [
      policy.padEnd(18),
      formatCell((row) => row.hitRate * PERCENT),
      formatCell((row) => row.wastedShare * PERCENT),
      formatCell((row) => row.firstTokenMs.p50),
      formatCell((row) => row.firstTokenMs.p99),
      String(rows.reduce((sum, row) => sum + row.errors, 0)),
    ].join(' ');
  });
  return [header, ...lines].join('\n');
}

function formatMedianAndRange(values: readonly number[]): string {
  const sorted = [...values].sort((left, right) => left - right);
  const median = sorted[sorted.length >> 1] ?? 0;
  const [minimum = 0] = sorted;
  const maximum = sorted[sorted.length - 1] ?? 0;
  return `${median.toFixed(1)} (${minimum.toFixed(1)}-${maximum.toFixed(1)})`;
}
