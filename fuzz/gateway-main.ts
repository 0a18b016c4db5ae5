/** `npm run fuzz:gateway -- SEED RUNS [lives|limits|notices|engine-limits|restorations]`: fuzzes the gateway beyond what CI does. */
import { engineLifeCommands } from './engine-life-commands.js';
import { engineLimitCommands } from './engine-limit-commands.js';
import { engineNoticeCommands } from './engine-notice-commands.js';
import { type CommandSource, gatewayCommands } from './gateway-commands.js';
import { fuzzGateway } from './gateway-run.js';
import { quotaCommands } from './quota-commands.js';
import { storeRestorationCommands } from './store-restoration-commands.js';

/** What the gateway is fuzzed on beside its usual faults: lives of engines, limits of tenants or engines, engines' own words, restorations of the store. */
const SOURCES: ReadonlyMap<string, CommandSource> = new Map([
  ['lives', engineLifeCommands],
  ['limits', quotaCommands],
  ['notices', engineNoticeCommands],
  ['engine-limits', engineLimitCommands],
  ['restorations', storeRestorationCommands],
]);

const [seed = '1', runs = '100', focus = ''] = process.argv.slice(2);
const commands = SOURCES.get(focus) ?? gatewayCommands;
const result = await fuzzGateway({ seed: Number(seed), runs: Number(runs), commands });
process.stdout.write(
  result.kind === 'passed' ? `passed, ${result.runs} runs\n` : `${result.report}\n`,
);
process.exitCode = result.kind === 'passed' ? 0 : 1;
