/** A small deployment for the bench: the router is a process of its own, the rest runs here. */
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { stringify } from 'yaml';
import { worldTemplates } from '../src/lab/simulation/world-settings.js';
import { startAgent } from '../src/programs/agent-program.js';
import { engineSettingsOf, startEngine, startPlatform } from '../src/programs/stand-in-programs.js';
import type { EngineBehaviour } from '../src/settings/schemas.js';
import { SilentLogger } from '../src/runtime/logger.js';
import { readMetric } from '../src/telemetry/read-metric.js';
import { Program, waitUntilOk } from '../test/helpers/processes.js';

const ANY = '127.0.0.1:0';
const DEADLINE_MS = 60_000;
const FAST_PREFILL = 10_000_000;

/** A running bench deployment. */
export interface BenchDeployment {
  readonly agentAddress: string;
  readonly engineAddress: string;
  /** Reads one figure of the router's metrics page. */
  routerMetric(name: string): Promise<number>;
  stop(): Promise<void>;
}

/** Starts platform, engine, agent and one router process. */
export async function startBenchDeployment(behaviour: EngineBehaviour): Promise<BenchDeployment> {
  const identity = {
    engineId: 'engine-1',
    model: 'model',
    weightsDigest: 'weights-one',
    adapterDigest: '',
  };
  const settings = engineSettingsOf(identity, {
    prefill_tokens_per_second: FAST_PREFILL,
    ...behaviour,
  });
  const engine = await startEngine(settings, ANY);
  const templates = worldTemplates('v1', 0);
  if (templates.templates.standard) templates.templates.standard.site_shares = { old: 1 };
  const { address } = engine.server;
  const place = { zone: 'zone-a', site: 'old' };
  const platform = await startPlatform(ANY, 0, templates, [
    { id: 'engine-1', kind: 'engine', address, ...place, services: [], leaving: false },
  ]);
  const router = startRouterProcess(platform.server.address);
  const operations = await router.field('operations_started', 'address');
  await waitUntilOk(`http://${operations}/readyz`);
  const agent = await startAgent(
    {
      node: { id: 'agent-1', zone: 'zone-a', region: 'region' },
      listen: { callers: ANY, operations: ANY },
      routers: [await router.field('router_started', 'peer')],
      default_deadline_ms: DEADLINE_MS,
      log_level: 'silent',
    },
    new SilentLogger(),
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
      listen: { peer: ANY, gossip: ANY, operations: ANY },
      platform: { object_api: platformAddress, machine_list: platformAddress },
      cluster_key: 'a-cluster-key-for-the-bench',
    }),
  );
  return new Program(['router', '--settings', file]);
}
