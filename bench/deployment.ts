/** A small deployment for the bench, with the router in a separate process. */
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { stringify } from 'yaml';
import { simulationTemplates } from '../src/lab/simulation/simulation-settings.js';
import { startAgent } from '../src/programs/agent-program.js';
import {
  engineSettingsOf,
  startEngine,
  startPlatform,
} from '../src/programs/simulated-programs.js';
import type { EngineBehaviour } from '../src/settings/schemas.js';
import { NoopLogger } from '../src/runtime/logger.js';
import { readMetric } from '../src/telemetry/read-metric.js';
import { Program, waitUntilOk } from '../test/helpers/processes.js';

const ANY_ADDRESS = '127.0.0.1:0';
const DEFAULT_DEADLINE_MS = 60_000;
const FAST_PREFILL_TOKENS_PER_SECOND = 10_000_000;

/** A running bench deployment. */
export interface BenchDeployment {
  readonly agentAddress: string;
  readonly engineAddress: string;
  /** Reads one of the router's metrics. */
  routerMetric(name: string): Promise<number>;
  stop(): Promise<void>;
}

/** Starts the platform, an engine and an agent in this process, and one router process. */
export async function startBenchDeployment(behaviour: EngineBehaviour): Promise<BenchDeployment> {
  const identity = {
    engineId: 'engine-1',
    model: 'model',
    weightsDigest: 'weights-one',
    adapterDigest: '',
  };
  const settings = engineSettingsOf(identity, {
    prefill_tokens_per_second: FAST_PREFILL_TOKENS_PER_SECOND,
    ...behaviour,
  });
  const engine = await startEngine(settings, ANY_ADDRESS);
  const templates = simulationTemplates('v1', 0);
  if (templates.templates.standard) templates.templates.standard.site_shares = { old: 1 };
  const { address } = engine.server;
  const location = { zone: 'zone-a', site: 'old' };
  const platform = await startPlatform(ANY_ADDRESS, 0, templates, [
    { id: 'engine-1', kind: 'engine', address, ...location, services: [], leaving: false },
  ]);
  const router = startRouterProcess(platform.server.address);
  const operations = await router.waitForLogField('operations_started', 'address');
  await waitUntilOk(`http://${operations}/readyz`);
  const agent = await startAgent(
    {
      node: { id: 'agent-1', zone: 'zone-a', region: 'region' },
      listen: { callers: ANY_ADDRESS, operations: ANY_ADDRESS },
      routers: [await router.waitForLogField('router_started', 'peer')],
      default_deadline_ms: DEFAULT_DEADLINE_MS,
      log_level: 'silent',
    },
    new NoopLogger(),
  );
  const ENGINE_REPORT_MS = 1_000;
  await new Promise((resolve) => setTimeout(resolve, ENGINE_REPORT_MS));
  return {
    agentAddress: agent.callerApi.address,
    engineAddress: address,
    routerMetric: (name) => readMetric(operations, name),
    stop: async () => {
      await agent.stop();
      router.kill('SIGTERM');
      await router.exited;
      await platform.server.stop();
      await engine.server.stop();
    },
  };
}

function startRouterProcess(platformAddress: string): Program {
  const file = path.join(mkdtempSync(path.join(tmpdir(), 'peatspan-bench-')), 'router.yaml');
  writeFileSync(
    file,
    stringify({
      node: { id: 'router-1', zone: 'zone-a', region: 'region' },
      listen: { peer: ANY_ADDRESS, gossip: ANY_ADDRESS, operations: ANY_ADDRESS },
      platform: { object_api: platformAddress, machine_list: platformAddress },
      cluster_key: 'a-cluster-key-for-the-bench',
    }),
  );
  return new Program(['router', '--settings', file]);
}
