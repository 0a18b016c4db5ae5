/**
 * Three plain engines crash at once while one popular read is in progress at each of them, and come back.
 * The read is proper, and its service is sound again.
 */
import { URL, fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { attempt } from '../second/http.mjs';
import { LIMITS, runCase } from '../second/deployment.mjs';

const RECORD = fileURLToPath(new URL('./record.txt', import.meta.url));
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const SERVICE = 'flag-core';
const KEYS = ['key-one', 'key-two'];
/** Two kinds of read that clients repeat: one is in progress when the engines crash. */
const POPULAR = '/flags/state/7f';
const OTHER = '/flags/state/2a';
const DOWN_MS = 4_500;
const AFTERWARDS_MS = 20_000;
const PERIOD_MS = 50;
/** DENIED: 5 and one in 500 of all requests. */
const ALLOWED = 5;
const ALLOWED_SHARE = 1 / 500;

const configuration = {
  version: 3,
  routes: [
    {
      ...{ name: 'flags', host: 'flags.example', path_prefix: '/flags/', service: SERVICE },
      ...{ kind: 'safe', timeout_ms: 2000, target_latency_ms: 300, priority: 2, max_attempts: 2 },
    },
    {
      ...{ name: 'reviews', host: 'flags.example', path_prefix: '/reviews/', service: 'guild-llm' },
      ...{ kind: 'streaming', resumable: true, timeout_ms: 6000, target_latency_ms: 800 },
      ...{ priority: 1, max_attempts: 2 },
    },
  ],
  services: [
    { name: SERVICE, max_connections: 100 },
    {
      ...{ name: 'guild-llm', max_connections: 360 },
      engine: {
        ...{ slots: 64, kv_capacity_tokens: 110556, kv_token_bytes: 163840 },
        ...{ link_mbps: 1100000, max_in_flight: 8 },
      },
    },
  ],
  tenants: [
    { name: 'tenant-one', api_keys: [KEYS[0]] },
    { name: 'tenant-two', api_keys: [KEYS[1]] },
  ],
  limits: LIMITS,
};

let count = 0;
async function read(deployment, router, path, key) {
  count += 1;
  const attemptId = `c${count}`;
  const headers = {
    Host: 'flags.example',
    'X-Peatspan-Attempt-Id': attemptId,
    'X-Peatspan-Time-Budget-Ms': '4000',
    'Api-Key': key,
  };
  const answer = await attempt({ address: router.frontend, method: 'GET', path, headers });
  const { status, error, body } = answer;
  const seal = answer.headers?.['x-peatspan-response-seal'];
  const text = status === 200 ? '' : (body ?? '');
  deployment.note(
    `client ${attemptId} GET ${path} ${key} at ${router.name}: ${status ?? error} ${text}`,
  );
  return { attemptId, path, key, status, isOwn: seal === undefined };
}

function startEngines(deployment, generation) {
  return Promise.all(
    ZONES.map((zone) => {
      const settings = { service: SERVICE, zone, slots: 6, workMs: 150 };
      return deployment.startEngine({ id: `i-${zone}-${generation}`, ...settings });
    }),
  );
}

/** Sends reads to all routers in turn until a time; resolves with all answers. */
async function load(deployment, untilMs) {
  const answers = [];
  for (let turn = 0; Date.now() < untilMs; turn += 1) {
    const router = deployment.routers[turn % deployment.routers.length];
    const path = turn % 2 === 0 ? POPULAR : OTHER;
    answers.push(read(deployment, router, path, KEYS[Math.floor(turn / 2) % 2]));
    await sleep(PERIOD_MS);
  }
  return Promise.all(answers);
}

/** All engines crash at once while the popular read runs at each of them. */
async function crashAll(deployment) {
  const before = deployment.reports.length;
  const reads = [];
  const runsAt = () =>
    new Set(
      deployment.reports
        .slice(before)
        .filter(({ kind, path }) => kind === 'runs' && path === POPULAR)
        .map(({ engine }) => engine),
    );
  const { routers } = deployment;
  for (let index = 0; index < 12; index += 1)
    reads.push(read(deployment, routers[index % routers.length], POPULAR, KEYS[0]));
  for (let turn = 0; runsAt().size < ZONES.length && turn < 20; turn += 1) await sleep(5);
  for (const zone of ZONES) deployment.killEngine(`i-${zone}-1`);
  return Promise.all(reads);
}

await runCase(RECORD, async (deployment, hasTrouble) => {
  const { store } = deployment;
  store.put('config', 'main', configuration);
  store.put('versions', 'm0', { model: 'm0', version: 1 });
  await startEngines(deployment, 1);
  for (const zone of ZONES) {
    const model = { service: 'guild-llm', model: 'm0', version: 1 };
    await deployment.startEngine({ id: `i-llm-${zone}`, zone, slots: 64, workMs: 20, ...model });
  }
  await deployment.startRouters(ZONES);
  await sleep(2_000);
  const before = await load(deployment, Date.now() + 4_000);
  const during = hasTrouble ? await crashAll(deployment) : [];
  await sleep(hasTrouble ? DOWN_MS : 0);
  if (hasTrouble) await startEngines(deployment, 2);
  const after = await load(deployment, Date.now() + AFTERWARDS_MS);
  const all = [...before, ...during, ...after];
  const denied = all.filter(
    ({ status, isOwn }) =>
      isOwn && status >= 400 && status < 500 && ![408, 421, 429].includes(status),
  );
  const allowed = ALLOWED + all.length * ALLOWED_SHARE;
  const last = after.slice(-100);
  deployment.note(
    `${all.length} requests, ${denied.length} ended with a 4xx of the system's own (allowed: ` +
      `${allowed.toFixed(1)}); of the last 100 requests ${last.filter(({ status }) => status === 200).length} got 200`,
  );
  if (before.some(({ status }) => status !== 200)) throw new Error('not sound before the trouble');
  return denied.length > allowed;
});
