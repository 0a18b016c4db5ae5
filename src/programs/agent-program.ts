/** The agent daemon. */
import type { AgentNode } from '../coordination/agent/agent-node.js';
import { createAgent } from '../coordination/agent/create-agent.js';
import { type CallerApi, startCallerApi } from '../edge/caller-api/server.js';
import type { Logger } from '../runtime/logger.js';
import type { AgentProgramSettings } from '../settings/schemas.js';
import { metricsOf, startOperationsServer } from '../telemetry/operations-server.js';
import { createDaemonContainer } from './daemon-container.js';

/** Time allowed for the caller API to finish running requests. */
const DRAIN_TIMEOUT_MS = 60_000;

/** A running agent. */
export interface RunningAgent {
  readonly node: AgentNode;
  readonly callerApi: CallerApi;
  /** Stops accepting requests, finishes those that are running, then closes. */
  stop(): Promise<void>;
}

/** Starts an agent with its caller API and operations port. */
export async function startAgent(
  settings: AgentProgramSettings,
  logger: Logger,
): Promise<RunningAgent> {
  const container = await createDaemonContainer(logger);
  const node = createAgent(container, {
    nodeId: settings.node.id,
    zone: settings.node.zone,
    routers: settings.routers,
    defaultDeadlineMs: settings.default_deadline_ms,
  });
  node.start();
  const callerApi = await startCallerApi(node, settings.listen.callers);
  const operations = await startOperationsServer(
    settings.listen.operations,
    metricsOf('peatspan_agent', node.statistics),
    () => node.isReady,
  );
  logger.info('operations_started', { address: operations.address });
  logger.info('caller_api_started', { address: callerApi.address });
  return {
    node,
    callerApi,
    stop: async () => {
      await callerApi.stop(DRAIN_TIMEOUT_MS);
      await node.stop();
      await operations.stop();
    },
  };
}
