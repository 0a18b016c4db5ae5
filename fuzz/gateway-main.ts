/** `npm run fuzz:gateway -- SEED RUNS [lives]`: fuzzes the gateway beyond what CI does. */
import { engineLifeCommands } from './engine-life-commands.js';
import { gatewayCommands } from './gateway-commands.js';
import { fuzzGateway } from './gateway-run.js';

const [seed = '1', runs = '100', focus] = process.argv.slice(2);
const commands = focus === 'lives' ? engineLifeCommands : gatewayCommands;
const result = await fuzzGateway({ seed: Number(seed), runs: Number(runs), commands });
process.stdout.write(
  result.kind === 'passed' ? `passed, ${result.runs} runs\n` : `${result.report}\n`,
);
process.exitCode = result.kind === 'passed' ? 0 : 1;
