/** The router daemon. */
import { createRouter } from '../coordination/router/create-router.js';
import type { RouterNode } from '../coordination/router/router-node.js';
import type { Logger } from '../runtime/logger.js';
import type { RouterProgramSettings } from '../settings/schemas.js';
import { type Metric, metricsOf, startOperationsServer } from '../telemetry/operations-server.js';
import { addRouterPorts, createDaemonContainer } from './daemon-container.js';

/** A running router. */
export interface RunningRouter {
  readonly node: RouterNode;
  /** Leaves the group, finishes running requests, then closes. */
  stop(): Promise<void>;
}

/** Starts a router with its operations port. */
export async function startRouter(
  settings: RouterProgramSettings,
  logger: Logger,
): Promise<RunningRouter> {
  const container = await createDaemonContainer(logger);
  addRouterPorts(container, settings.platform.object_api, settings.platform.machine_list);
  const node = createRouter(container, {
    nodeId: settings.node.id,
    zone: settings.node.zone,
    region: settings.node.region,
    peerAddress: settings.listen.peer,
    gossipAddress: settings.listen.gossip,
    seeds: settings.seeds,
    clusterKey: settings.cluster_key,
  });
  await node.start();
  const operations = await startOperationsServer(
    settings.listen.operations,
    routerMetrics(node),
    () => node.isReady,
  );
  logger.info('operations_started', { address: operations.address });
  return {
    node,
    stop: async () => {
      await node.stop();
      await operations.stop();
    },
  };
}

function routerMetrics(node: RouterNode): Metric[] {
  return [
    ...metricsOf('peatspan_router', node.statistics),
    {
      name: 'peatspan_router_running_calls',
      help: 'Calls running now',
      read: () => node.runningCalls,
    },
    {
      name: 'peatspan_router_directory_marks',
      help: 'Marks in the prefix directory',
      read: () => node.directory.size,
    },
    {
      name: 'peatspan_router_working_routers',
      help: 'Working routers seen',
      read: () => node.workingRouters.length,
    },
    {
      name: 'peatspan_router_configuration_revision',
      help: 'Configuration revision in force',
      read: () => Number(node.configuration.revision),
    },
  ];
}
