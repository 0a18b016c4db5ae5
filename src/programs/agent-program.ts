/** The agent daemon. */
import type { AgentNode } from '../coordination/agent/agent-node.js';
import { createAgent } from '../coordination/agent/create-agent.js';
import { type CallerApi, startCallerApi } from '../edge/caller-api/server.js';
import type { Logger } from '../runtime/logger.js';
import type { AgentProgramSettings } from '../settings/schemas.js';
import { metricsOf, startOperationsServer } from '../telemetry/operations-server.js';
import { createSurroundings } from './surroundings.js';

/** Time the caller interface gets to write its last answers. */
const LAST_ANSWERS_MS = 60_000;

/** A running daemon. */
export interface RunningAgent {
  readonly node: AgentNode;
  readonly callerApi: CallerApi;
  /** Takes no new request, answers what runs, closes. */
  stop(): Promise<void>;
}

/** Starts an agent with its caller interface and operations port. */
export async function startAgent(
  settings: AgentProgramSettings,
  logger: Logger,
): Promise<RunningAgent> {
  const container = await createSurroundings(logger);
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
      await callerApi.stop(LAST_ANSWERS_MS);
      await node.stop();
      await operations.stop();
    },
  };
}
