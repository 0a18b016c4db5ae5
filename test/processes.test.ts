/**
 * End-to-end test with separate processes: guards against incomplete streams when processes are
 * killed or stopped.
 */
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { stringify } from 'yaml';
import { createTokenModel, expectedText } from '../src/lab/engine/token-model.js';
import { simulationTemplates } from '../src/lab/simulation/simulation-settings.js';
import { Program, waitUntilOk } from './helpers/processes.js';

const ANY_PORT = '127.0.0.1:0';
const TOKENS = 120;
const CLUSTER_KEY = 'a-cluster-key-for-tests';

interface Deployment {
  readonly platform: Program;
  readonly engines: Program[];
  readonly routers: Program[];
  readonly agent: Program;
  readonly agentAddress: string;
}

async function startEngine(id: string, platformAddress: string, zone: string): Promise<Program> {
  const weights = ['--model', 'model', '--weights-digest', 'weights-one'];
  const engine = new Program(['lab', 'engine', '--id', id, '--http', ANY_PORT, ...weights]);
  const address = await engine.waitForLogField('engine_started', 'address');
  const machine = { id, kind: 'engine', address, zone, site: 'old' };
  await fetch(`http://${platformAddress}/machines/${id}`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(machine),
  });
  return engine;
}

async function startRouter(
  id: string,
  folder: string,
  platformAddress: string,
  seeds: string[],
): Promise<Program> {
  const file = path.join(folder, `${id}.yaml`);
  const settings = {
    node: { id, zone: 'zone-a', region: 'region' },
    listen: { peer: ANY_PORT, gossip: ANY_PORT, operations: ANY_PORT },
    seeds,
    platform: { object_api: platformAddress, machine_list: platformAddress },
    cluster_key: CLUSTER_KEY,
  };
  writeFileSync(file, stringify(settings));
  const router = new Program(['router', '--settings', file]);
  await waitUntilOk(
    `http://${await router.waitForLogField('operations_started', 'address')}/readyz`,
  );
  return router;
}

async function startDeployment(t: ExecutionContext): Promise<Deployment> {
  const folder = mkdtempSync(path.join(tmpdir(), 'peatspan-test-'));
  const templates = simulationTemplates('v1', 0);
  const standard = templates.templates.standard;
  if (standard) standard.site_shares = { old: 1 };
  const templatesFile = path.join(folder, 'templates.yaml');
  writeFileSync(templatesFile, stringify(templates));
  const platform = new Program([
    'lab',
    'platform',
    '--http',
    ANY_PORT,
    '--templates',
    templatesFile,
  ]);
  const platformAddress = await platform.waitForLogField('platform_started', 'address');
  const engines = [
    await startEngine('engine-1', platformAddress, 'zone-a'),
    await startEngine('engine-2', platformAddress, 'zone-b'),
    await startEngine('engine-3', platformAddress, 'zone-a'),
  ];
  const first = await startRouter('router-1', folder, platformAddress, []);
  const seeds = [await first.waitForLogField('router_started', 'gossip')];
  const second = await startRouter('router-2', folder, platformAddress, seeds);
  const third = await startRouter('router-3', folder, platformAddress, seeds);
  const routers = [first, second, third];
  const peers = await Promise.all(
    routers.map((each) => each.waitForLogField('router_started', 'peer')),
  );
  const agent = new Program([
    ...[
      'agent',
      '--id',
      'agent-1',
      '--zone',
      'zone-a',
      '--callers',
      ANY_PORT,
      '--operations',
      ANY_PORT,
    ],
    ...peers.flatMap((peer) => ['--router', peer]),
  ]);
  await waitUntilOk(
    `http://${await agent.waitForLogField('operations_started', 'address')}/readyz`,
  );
  const agentAddress = await agent.waitForLogField('caller_api_started', 'address');
  t.teardown(() => {
    for (const each of [platform, agent, ...engines, ...routers]) each.kill('SIGKILL');
  });
  // The routers may not have received the third engine's machine yet.
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  return { platform, engines, routers, agent, agentAddress };
}

function promptOf(index: number): string {
  return `${'A long beginning that requests share. '.repeat(40)} branch ${index % 3}, request ${index}`;
}

async function stream(agentAddress: string, index: number): Promise<string> {
  const response = await fetch(`http://${agentAddress}/v1/completions`, {
    method: 'POST',
    headers: { authorization: 'Bearer key-tenant-a', 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'model',
      prompt: promptOf(index),
      max_tokens: TOKENS,
      stream: true,
    }),
  });
  const body = await response.text();
  if (!body.trimEnd().endsWith('data: [DONE]'))
    throw new Error(`incomplete stream: ${body.slice(-300)}`);
  const events = body.split('\n').filter((line) => line.startsWith('data: {'));
  const texts = events.map((line) => {
    const event = JSON.parse(line.slice('data: '.length)) as { choices: { text: string }[] };
    return event.choices[0]?.text ?? '';
  });
  return texts.join('');
}

/** Starts streams, runs `injectFault` in the middle of them and checks that each is complete. */
async function withStreams(
  t: ExecutionContext,
  deployment: Deployment,
  injectFault: () => Promise<unknown> | undefined,
): Promise<void> {
  const STREAMS = 12;
  const MIDDLE_MS = 600;
  const streams = Array.from({ length: STREAMS }, (_, index) =>
    stream(deployment.agentAddress, index),
  );
  await new Promise((resolve) => setTimeout(resolve, MIDDLE_MS));
  await injectFault();
  const texts = await Promise.all(streams);
  const model = await createTokenModel();
  for (const [index, text] of texts.entries()) {
    t.is(text, expectedText(model, promptOf(index), TOKENS));
  }
}

test('streams complete despite SIGKILL of a router and an engine and SIGTERM of a router and the agent', async (t) => {
  t.timeout(120_000);
  const deployment = await startDeployment(t);
  const { routers, engines, agent } = deployment;

  await withStreams(t, deployment, () => void routers[0]?.kill('SIGKILL'));
  await withStreams(t, deployment, () => void engines[0]?.kill('SIGKILL'));
  await withStreams(t, deployment, () => void routers[1]?.kill('SIGTERM'));
  t.is(await routers[1]?.exited, 0);
  await withStreams(t, deployment, () => void agent.kill('SIGTERM'));
  t.is(await agent.exited, 0);
  t.notRegex(agent.log + routers[2]?.log, /key-tenant-a|long beginning/);
});

test('invalid settings end the program with exit code 2 and a one-line error', async (t) => {
  const folder = mkdtempSync(path.join(tmpdir(), 'peatspan-test-'));
  const file = path.join(folder, 'router.yaml');
  writeFileSync(file, 'node: { id: r, zone: z }\nlisten: { peer: nowhere }\n');
  const router = new Program(['router', '--settings', file]);
  t.is(await router.exited, 2);
  t.is(router.log.trim().split('\n').length, 1);
  t.true(router.log.includes(`${file}: listen.peer: expected an IP number and a port`));
});
