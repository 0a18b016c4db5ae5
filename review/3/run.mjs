/**
 * A router process is killed while a stream without a length passes through it. The caller must be
 * able to see that its answer ended early.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { isDisrupted, runCase } from '../case.mjs';
import { Engine } from '../engine.mjs';
import { MODEL, SERVICE, configuration, generate } from '../services.mjs';

const ZONES = ['hall-karlin', 'hall-vysocany'];
const ROUTER_IPS = ['127.0.36.1', '127.0.36.2', '127.0.36.3'];
const ENGINES = 4;
/** The dose of `garble` with `unframed`: half of the engines, one in 20 of their answers, for 5 s. */
const UNFRAMED_ENGINES = 2;
const UNFRAMED_ONE_IN = 20;
const UNFRAMED_MS = 5_000;
/** Longer than `contact_ms`, so that all machines are in touch. */
const CALM_MS = 5_000;
const AFTER_MS = 4_000;
const CLIENTS_PER_ROUTER = 12;
const THINK_MS = 200;
const EVENTS = 120;
/** The stream that the kill meets has begun and is far from its end. */
const BEGUN_EVENTS = 10;
const API_KEY = 'ctnfzs989anu6wsjnban';

/** A client that sends one request after the other. */
async function runClient({ recorder, routers, index, until, answers }) {
  await sleep((index * THINK_MS) / CLIENTS_PER_ROUTER);
  for (let turn = 0; Date.now() < until; turn += 1) {
    const own = { id: `f${String(index).padStart(3, '0')}${turn % 10}`, tokens: 250 };
    const frame = { id: '5c1e07a2', tokens: 198 };
    const request = {
      tenant: 'sese880',
      apiKey: API_KEY,
      parts: [frame, own],
      outputTokens: EVENTS,
    };
    answers.push(await generate(recorder, routers[(index + turn) % routers.length], request));
    await sleep(THINK_MS);
  }
}

/** Waits for a stream without a length that is in progress; resolves with the router it is sent by. */
async function routerOfStream(recorder, routers, engines, until) {
  while (Date.now() < until) {
    for (const { attempt, sent, events } of engines.flatMap(({ unframed }) => [...unframed])) {
      const isUnderway = sent >= BEGUN_EVENTS && sent < events / 2;
      const entry = recorder.entries.find(
        (each) => each.what === 'sent' && each.attempt === attempt,
      );
      if (isUnderway) return routers.find(({ name }) => name === entry.router);
    }
    await sleep(10);
  }
  throw new Error('no stream without a length was in progress');
}

/** Answers that look whole to their caller although pieces of the stream are missing. */
function shortened(answers) {
  return answers
    .filter(({ status, error, isComplete }) => status === 200 && !error && isComplete)
    .filter(({ events }) => events < EVENTS)
    .map(({ attempt, router, events }) => ({ attempt, router, events, expected: EVENTS }));
}

async function play({ recorder, store, deployment, engines }) {
  const tenants = [{ name: 'sese880', api_keys: [API_KEY], priority: 1, isolated: false }];
  store.put('config', 'main', configuration(7, tenants));
  store.put('versions', MODEL, { model: MODEL, version: 1 });
  await store.start('127.0.36.100');
  for (const [index, engine] of engines.entries()) await engine.start(`127.0.36.${50 + index}`);
  const { address: storeAddress } = store;
  await deployment.startRouters({ ips: ROUTER_IPS, zones: ZONES, storeAddress });
  deployment.restartAfterExits();
  await sleep(2_000);
  const { routers } = deployment;
  const until = Date.now() + CALM_MS + UNFRAMED_MS + AFTER_MS;
  const answers = [];
  const clients = Array.from({ length: CLIENTS_PER_ROUTER * routers.length }, (_, index) =>
    runClient({ recorder, routers, index, until, answers }),
  );
  await sleep(CALM_MS);
  const unframedUntil = Date.now() + UNFRAMED_MS;
  for (const engine of engines.slice(0, UNFRAMED_ENGINES)) engine.unframedOneIn = UNFRAMED_ONE_IN;
  const router = await routerOfStream(recorder, routers, engines, unframedUntil);
  if (isDisrupted) router.signal('SIGKILL');
  await sleep(unframedUntil - Date.now());
  for (const engine of engines) engine.unframedOneIn = 0;
  await Promise.all(clients);
  const whole = answers.filter(({ events }) => events === EVENTS).length;
  if (whole < 50) throw new Error(`only ${whole} streams were whole`);
  const breaks = shortened(answers);
  const cut = answers.filter(({ error }) => error).length;
  const line = `${breaks.length} shortened streams looked whole; ${cut} others ended visibly early; ${whole} were whole`;
  return { breaks, line };
}

function createEngines(store, record) {
  return Array.from(
    { length: ENGINES },
    (_, index) =>
      new Engine({
        id: `i-7f3a91c${index}`,
        service: SERVICE,
        zone: ZONES[index % ZONES.length],
        slots: 64,
        capacityTokens: 99_487,
        model: MODEL,
        version: 1,
        loadMs: 760,
        tokenMs: 12,
        store,
        record,
      }),
  );
}

await runCase(import.meta.url, { createEngines, play });
