/** Commands `peatspan agent` and `peatspan router`. */
import type { Argv } from 'yargs';
import { stopOnSignal } from '../programs/lifecycle.js';
import { loadSettings } from '../settings/load-settings.js';
import { agentSettingsSchema, routerSettingsSchema } from '../settings/schemas.js';
import { ConsoleLogger } from '../telemetry/console-logger.js';
import { withSettings } from './options.js';

/** Adds the commands that start daemons. */
export function addDaemonCommands(yargs: Argv): Argv {
  return yargs
    .command(
      'agent',
      'start an agent: the local HTTP API for callers',
      (command) =>
        withSettings(command)
          .option('id', { type: 'string', describe: 'node identifier' })
          .option('zone', { type: 'string', describe: 'zone of this node' })
          .option('callers', { type: 'string', describe: 'address for callers (HTTP)' })
          .option('operations', { type: 'string', describe: 'address for metrics and health' })
          .option('router', { type: 'array', string: true, describe: 'peer addresses of routers' }),
      async (argv) => {
        const settings = loadSettings(agentSettingsSchema, argv.settings, {
          'node.id': argv.id,
          'node.zone': argv.zone,
          'listen.callers': argv.callers,
          'listen.operations': argv.operations,
          log_level: argv.logLevel,
          ...(argv.router ? { routers: argv.router as never } : {}),
        });
        const logger = new ConsoleLogger(settings.log_level, settings.node.id);
        const { startAgent } = await import('../programs/agent-program.js');
        const agent = await startAgent(settings, logger);
        stopOnSignal(logger, () => agent.stop());
      },
    )
    .command(
      'router',
      'start a router: forwards requests to engines and back ends',
      (command) =>
        withSettings(command)
          .option('id', { type: 'string', describe: 'node identifier' })
          .option('zone', { type: 'string', describe: 'zone of this node' })
          .option('region', { type: 'string', describe: 'region of this node' })
          .option('peer', { type: 'string', describe: 'address for agents and routers (TCP)' })
          .option('gossip', { type: 'string', describe: 'address for group membership (UDP)' })
          .option('operations', { type: 'string', describe: 'address for metrics and health' }),
      async (argv) => {
        const settings = loadSettings(routerSettingsSchema, argv.settings, {
          'node.id': argv.id,
          'node.zone': argv.zone,
          'node.region': argv.region,
          'listen.peer': argv.peer,
          'listen.gossip': argv.gossip,
          'listen.operations': argv.operations,
          log_level: argv.logLevel,
        });
        const logger = new ConsoleLogger(settings.log_level, settings.node.id);
        const { startRouter } = await import('../programs/router-program.js');
        const router = await startRouter(settings, logger);
        stopOnSignal(logger, () => router.stop());
      },
    );
}
