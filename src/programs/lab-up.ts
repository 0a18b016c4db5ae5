/** Starts a complete deployment in one process: simulated systems, routers and agents. */
import path from 'node:path';
import { BackendStore } from '../lab/backend/backend-core.js';
import type { Machine } from '../protocol/machine-list/port.js';
import type { Logger } from '../runtime/logger.js';
import { checkSettings, readYaml } from '../settings/load-settings.js';
import { type Deployment, deploymentSchema } from '../settings/schemas.js';
import { SettingsError } from '../settings/settings-error.js';
import { type TemplateSet, checkTemplateSet } from '../state/template-set.js';
import { ConsoleLogger, type LogLevel } from '../telemetry/console-logger.js';
import { formatAddress } from '../transport/address.js';
import { type RunningAgent, startAgent } from './agent-program.js';
import { type RunningRouter, startRouter } from './router-program.js';
import {
  type RunningEngine,
  type RunningPlatform,
  engineSettingsOf,
  startBackend,
  startEngine,
  startPlatform,
} from './simulated-programs.js';

const LOOPBACK = '127.0.0.1';
const ANY_PORT = 0;
const LAB_CLUSTER_KEY = 'laboratory-cluster-key';
const MAXIMUM_BACKEND_RUNNING = 64;
const READY_POLL_MS = 20;
const READY_TIMEOUT_MS = 15_000;

/** Validated contents of a deployment directory. */
export interface DeploymentFolder {
  readonly deployment: Deployment;
  readonly templates: TemplateSet;
}

/** Reads `deployment.yaml` and `templates.yaml`; throws a `SettingsError` if one is invalid. */
export function readDeployment(folder: string): DeploymentFolder {
  const deploymentFile = path.join(folder, 'deployment.yaml');
  const deployment = checkSettings(deploymentSchema, readYaml(deploymentFile), deploymentFile);
  return { deployment, templates: readTemplates(path.join(folder, 'templates.yaml')) };
}

/** Reads a templates file; throws a `SettingsError` if it is invalid. */
export function readTemplates(file: string): TemplateSet {
  const verdict = checkTemplateSet(readYaml(file));
  if (verdict.kind === 'valid') return verdict.set;
  const [problem] = verdict.problems;
  throw new SettingsError(file, problem?.path ?? '', problem?.message ?? 'malformed');
}

/** All components of a running deployment. */
export interface RunningDeployment {
  readonly platform: RunningPlatform;
  readonly engines: readonly RunningEngine[];
  readonly routers: readonly RunningRouter[];
  readonly agents: readonly RunningAgent[];
  stop(): Promise<void>;
}

/** Options of {@link startDeployment}. */
export interface DeploymentOptions {
  readonly logLevel: LogLevel;
  /** Port of the first agent; undefined uses the port from the deployment file. */
  readonly agentPort: number | undefined;
  /** Whether the operating system chooses all ports, as tests need. */
  readonly anyPorts: boolean;
}

/** Starts all components of a deployment in this process and waits until they are ready. */
export async function startDeployment(
  folder: DeploymentFolder,
  options: DeploymentOptions,
): Promise<RunningDeployment> {
  const { deployment, templates } = folder;
  const portOf = (port: number): number => (options.anyPorts ? ANY_PORT : port);
  const at = (port: number): string => formatAddress(LOOPBACK, portOf(port));
  const loggerOf = (nodeId: string): Logger => new ConsoleLogger(options.logLevel, nodeId);

  const stops: (() => Promise<void>)[] = [];
  const engines: RunningEngine[] = [];
  const machines: Machine[] = [];
  for (const engine of deployment.engines) {
    const version = templates.models[engine.model]?.versions[engine.version];
    if (!version) {
      const message = `no version "${engine.version}" of model "${engine.model}"`;
      throw new SettingsError('deployment.yaml', `engines.${engine.id}`, message);
    }
    const identity = {
      engineId: engine.id,
      model: engine.model,
      weightsDigest: version.weights_digest,
      adapterDigest: version.adapter_digest,
    };
    const running = await startEngine(
      engineSettingsOf(identity, engine.behaviour),
      at(engine.port),
    );
    engines.push(running);
    stops.push(() => running.server.stop());
    machines.push(machineOf(deployment, 'engine', engine, running.server.address, []));
  }
  const stores = new Map<string, BackendStore>();
  for (const backend of deployment.backends) {
    const group = backend.services.join(',');
    const store = stores.get(group) ?? new BackendStore();
    stores.set(group, store);
    const server = await startBackend(
      backend.id,
      backend.work_ms,
      MAXIMUM_BACKEND_RUNNING,
      store,
      at(backend.port),
    );
    stops.push(() => server.stop());
    machines.push(machineOf(deployment, 'backend', backend, server.address, backend.services));
  }
  const platform = await startPlatform(at(deployment.platform.port), 0, templates, machines);
  const routers = await startRouters(deployment, platform.server.address, at, loggerOf);
  const agents = await startAgents(deployment, routers, options, at, loggerOf);
  await waitUntilReady(routers, agents);
  return {
    platform,
    engines,
    routers,
    agents,
    stop: async () => {
      await Promise.all(agents.map((agent) => agent.stop()));
      await Promise.all(routers.map((router) => router.stop()));
      await platform.server.stop();
      await Promise.all(stops.map((stop) => stop()));
    },
  };
}

function machineOf(
  deployment: Deployment,
  kind: Machine['kind'],
  entry: { readonly id: string; readonly zone: string },
  address: string,
  services: readonly string[],
): Machine {
  const site = deployment.zones[entry.zone]?.site;
  if (site === undefined) {
    const message = `no zone named "${entry.zone}"`;
    throw new SettingsError('deployment.yaml', entry.id, message);
  }
  return { id: entry.id, kind, address, zone: entry.zone, site, services, leaving: false };
}

async function startRouters(
  deployment: Deployment,
  platformAddress: string,
  at: (port: number) => string,
  loggerOf: (nodeId: string) => Logger,
): Promise<RunningRouter[]> {
  const routers: RunningRouter[] = [];
  const seeds: string[] = [];
  for (const { id, zone, port } of deployment.routers) {
    const router = await startRouter(
      {
        node: { id, zone, region: deployment.region },
        listen: {
          peer: at(port),
          gossip: at(port),
          operations: formatAddress(LOOPBACK, ANY_PORT),
        },
        seeds: [...seeds],
        platform: { object_api: platformAddress, machine_list: platformAddress },
        cluster_key: LAB_CLUSTER_KEY,
        log_level: 'info',
      },
      loggerOf(id),
    );
    seeds.push(router.node.gossipAddress);
    routers.push(router);
  }
  return routers;
}

async function startAgents(
  deployment: Deployment,
  routers: readonly RunningRouter[],
  options: DeploymentOptions,
  at: (port: number) => string,
  loggerOf: (nodeId: string) => Logger,
): Promise<RunningAgent[]> {
  const agents: RunningAgent[] = [];
  for (const [index, { id, zone, port }] of deployment.agents.entries()) {
    const first = index === 0 ? options.agentPort : undefined;
    const callers = first === undefined ? at(port) : formatAddress(LOOPBACK, first);
    const DEADLINE_MS = 60_000;
    agents.push(
      await startAgent(
        {
          node: { id, zone, region: deployment.region },
          listen: { callers, operations: formatAddress(LOOPBACK, ANY_PORT) },
          routers: routers.map((router) => router.node.peerAddress),
          default_deadline_ms: DEADLINE_MS,
          log_level: 'info',
        },
        loggerOf(id),
      ),
    );
  }
  return agents;
}

async function waitUntilReady(
  routers: readonly RunningRouter[],
  agents: readonly RunningAgent[],
): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  const isReady = (): boolean =>
    routers.every(({ node }) => node.isReady && node.workingRouters.length === routers.length) &&
    routers.every(({ node }) => node.hasAllEngineReports) &&
    agents.every(({ node }) => node.isReady);
  while (!isReady()) {
    if (performance.now() > deadlineMs)
      throw new Error('the deployment did not become ready in time');
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
}
