/**
 * `npm run fuzz:gateway -- SEED RUNS [FOCUS]`: runs the
 * gateway's fuzz test with any seed and number of runs.
 */
import { brittleEngineCommands } from './brittle-engine-commands.js';
import { cutBuildCommands } from './cut-build-commands.js';
import { crashesTogetherCommands } from './crashes-together-commands.js';
import { crashingPartCommands, quarantinedStreamCommands } from './crashing-part-commands.js';
import {
  buildRecordCommands,
  engineBuildCommands,
  lastingBuildCommands,
} from './engine-build-commands.js';
import { engineCutCommands } from './engine-cut-commands.js';
import { engineRestartCommands } from './engine-restart-commands.js';
import { engineLimitCommands } from './engine-limit-commands.js';
import { engineNoticeCommands } from './engine-notice-commands.js';
import { type CommandSource, gatewayCommands } from './gateway-commands.js';
import { isolationCommands } from './isolation-commands.js';
import { fuzzGateway } from './gateway-run.js';
import { quotaCommands } from './quota-commands.js';
import { responseFramingCommands } from './response-framing-commands.js';
import { silentEngineCommands } from './silent-engine-commands.js';
import { storeRestorationCommands } from './store-restoration-commands.js';

/** Command sources by the third argument; others select those of `gateway-commands.ts`. */
const SOURCES: ReadonlyMap<string, CommandSource> = new Map([
  ['lives', engineRestartCommands],
  ['limits', quotaCommands],
  ['notices', engineNoticeCommands],
  ['engine-limits', engineLimitCommands],
  ['restorations', storeRestorationCommands],
  ['cuts', engineCutCommands],
  ['brittle', brittleEngineCommands],
  ['framing', responseFramingCommands],
  ['builds', engineBuildCommands],
  ['build-record', buildRecordCommands],
  ['lasting-builds', lastingBuildCommands],
  ['cut-builds', cutBuildCommands],
  ['parts', crashingPartCommands],
  ['quarantined-streams', quarantinedStreamCommands],
  ['silent-engines', silentEngineCommands],
  ['crashes-together', crashesTogetherCommands],
  ['isolation', isolationCommands],
]);

const [seed = '1', runs = '100', focus = ''] = process.argv.slice(2);
const commands = SOURCES.get(focus) ?? gatewayCommands;
const result = await fuzzGateway({ seed: Number(seed), runs: Number(runs), commands });
process.stdout.write(
  result.kind === 'passed' ? `passed, ${result.runs} runs\n` : `${result.report}\n`,
);
process.exitCode = result.kind === 'passed' ? 0 : 1;
