/** `npm run fuzz:gateway -- SEED RUNS`: fuzzes the gateway beyond what CI does. */
import { fuzzGateway } from './gateway-run.js';

const [seed = '1', runs = '100'] = process.argv.slice(2);
const result = await fuzzGateway({ seed: Number(seed), runs: Number(runs) });
process.stdout.write(
  result.kind === 'passed' ? `passed, ${result.runs} runs\n` : `${result.report}\n`,
);
process.exitCode = result.kind === 'passed' ? 0 : 1;
