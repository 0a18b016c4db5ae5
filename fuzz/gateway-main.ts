/** `npm run fuzz:gateway -- SEED RUNS [limits]`: fuzzes the gateway, or limits of tenants too, beyond what CI does. */
import { fuzzGateway } from './gateway-run.js';
import { QUOTA_COMMANDS } from './quota-commands.js';

const [seed = '1', runs = '100', commands] = process.argv.slice(2);
const additional = commands === 'limits' ? QUOTA_COMMANDS : [];
const result = await fuzzGateway({ seed: Number(seed), runs: Number(runs), additional });
process.stdout.write(
  result.kind === 'passed' ? `passed, ${result.runs} runs\n` : `${result.report}\n`,
);
process.exitCode = result.kind === 'passed' ? 0 : 1;
