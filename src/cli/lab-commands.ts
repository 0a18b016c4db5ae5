/** `peatspan lab ...`: simulated platform, engines and back ends for local use. */
import type { Argv } from 'yargs';
import { BackendStore } from '../lab/backend/backend-core.js';
import { stopOnSignal } from '../programs/lifecycle.js';
import { readTemplates } from '../programs/lab-up.js';
import {
  engineSettingsOf,
  startBackend,
  startEngine,
  startPlatform,
} from '../programs/simulated-programs.js';
import { loadSettings } from '../settings/load-settings.js';
import {
  backendSettingsSchema,
  engineSettingsSchema,
  platformSettingsSchema,
} from '../settings/schemas.js';
import { ConsoleLogger } from '../telemetry/console-logger.js';
import { addExperimentCommand } from './lab-experiment-command.js';
import { addScaleCommand } from './lab-scale-command.js';
import { addUpCommand } from './lab-up-command.js';
import { withSettings } from './options.js';

/** Adds the `lab` commands. */
export function addLabCommands(yargs: Argv): Argv {
  return yargs.command('lab', 'simulated systems, sample traffic and experiments', (lab) =>
    [
      addPlatformCommand,
      addEngineCommand,
      addBackendCommand,
      addUpCommand,
      addScaleCommand,
      addExperimentCommand,
    ]
      .reduce((command, add) => add(command), lab)
      .demandCommand(1, 'specify a lab command'),
  );
}

function addPlatformCommand(yargs: Argv): Argv {
  return yargs.command(
    'platform',
    'start a simulated object API and machine list',
    (command) =>
      withSettings(command)
        .option('http', { type: 'string', describe: 'address to listen on' })
        .option('templates', { type: 'string', describe: 'initial configuration (YAML)' }),
    async (argv) => {
      const settings = loadSettings(platformSettingsSchema, argv.settings, {
        'listen.http': argv.http,
        templates: argv.templates,
        log_level: argv.logLevel,
      });
      const logger = new ConsoleLogger(settings.log_level, 'platform');
      const templates =
        settings.templates === undefined ? undefined : readTemplates(settings.templates);
      const lagMs = settings.machine_list_lag_ms;
      const platform = await startPlatform(settings.listen.http, lagMs, templates, []);
      logger.info('platform_started', { address: platform.server.address });
      stopOnSignal(logger, () => platform.server.stop());
    },
  );
}

function addEngineCommand(yargs: Argv): Argv {
  return yargs.command(
    'engine',
    'start a simulated inference engine',
    (command) =>
      withSettings(command)
        .option('http', { type: 'string', describe: 'address to listen on' })
        .option('id', { type: 'string', describe: 'engine identifier' })
        .option('model', { type: 'string', describe: 'model that the engine serves' })
        .option('weights-digest', {
          type: 'string',
          describe: 'digest of the weights that the engine serves',
        }),
    async (argv) => {
      const settings = loadSettings(engineSettingsSchema, argv.settings, {
        'listen.http': argv.http,
        'engine.id': argv.id,
        'engine.model': argv.model,
        'engine.weights_digest': argv.weightsDigest,
        log_level: argv.logLevel,
      });
      const { id, model, weights_digest: weightsDigest } = settings.engine;
      const adapterDigest = settings.engine.adapter_digest;
      const logger = new ConsoleLogger(settings.log_level, id);
      const identity = { engineId: id, model, weightsDigest, adapterDigest };
      const engine = await startEngine(
        engineSettingsOf(identity, settings.behaviour),
        settings.listen.http,
      );
      logger.info('engine_started', { address: engine.server.address });
      stopOnSignal(logger, () => engine.server.stop());
    },
  );
}

function addBackendCommand(yargs: Argv): Argv {
  return yargs.command(
    'backend',
    'start a simulated back end that serves lookups and writes',
    (command) =>
      withSettings(command)
        .option('http', { type: 'string', describe: 'address to listen on' })
        .option('id', { type: 'string', describe: 'back end identifier' }),
    async (argv) => {
      const settings = loadSettings(backendSettingsSchema, argv.settings, {
        'listen.http': argv.http,
        'backend.id': argv.id,
        log_level: argv.logLevel,
      });
      const { id } = settings.backend;
      const logger = new ConsoleLogger(settings.log_level, id);
      const { work_ms: workMs, maximum_running: maximum, listen } = settings;
      const server = await startBackend(id, workMs, maximum, new BackendStore(), listen.http);
      logger.info('backend_started', { address: server.address });
      stopOnSignal(logger, () => server.stop());
    },
  );
}
