/**
 * Engines of a plain service hand out some wrong bytes. Requests from kept connections that were
 * passed on to sound engines must still get an answer.
 */
import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { isDisrupted, runCase } from '../case.mjs';
import { PlainEngine } from '../plain-engine.mjs';
import { HOST, PLAIN_PREFIX, PLAIN_SERVICE, plainConfiguration } from '../services.mjs';

const ZONES = ['hall-karlin', 'hall-vysocany'];
const ROUTER_IPS = ['127.0.32.1', '127.0.32.2', '127.0.32.3'];
const ENGINES = 4;
/** The dose of `garble`: half of the engines, one in 50 of their answers (0.02), for 5.5 s. */
const FAULTY_ENGINES = 2;
const SPOILED_ONE_IN = 50;
const TROUBLE_MS = 5_500;
/** Longer than `contact_ms`, so that all machines are in touch. */
const CALM_MS = 5_000;
const AFTER_MS = 4_000;
const CLIENTS_PER_ROUTER = 12;
const THINK_MS = 250;
/** More than three such requests at one machine break the rule. */
const ALLOWED_LOSSES = 3;
const API_KEY = 'ctnfzs989anu6wsjnban';

let attempts = 0;

/** Sends one request on the client's kept connection; resolves with what the client saw. */
function sendOnce(recorder, router, agent) {
  attempts += 1;
  const attempt = `c${String(attempts).padStart(6, '0')}`;
  return new Promise((resolve) => {
    const finish = (outcome) => {
      const isKept = request.reusedSocket;
      recorder.note({ what: 'answered', attempt, router: router.name, isKept, ...outcome });
      resolve(outcome);
    };
    const request = httpRequest({
      ...router.frontend,
      agent,
      method: 'POST',
      path: `${PLAIN_PREFIX}2f`,
      headers: {
        Host: HOST,
        'X-Peatspan-Attempt-Id': attempt,
        'X-Peatspan-Time-Budget-Ms': '3000',
        'Api-Key': API_KEY,
        'Content-Length': '600',
      },
    });
    request.on('response', (response) => {
      response.resume();
      response.on('end', () => finish({ status: response.statusCode }));
      response.on('error', ({ message }) =>
        finish({ status: response.statusCode, error: message }),
      );
    });
    request.on('error', ({ code, message }) => finish({ error: code ?? message }));
    recorder.note({ what: 'sent', attempt, router: router.name });
    request.end('r'.repeat(600));
  });
}

/** A client that keeps its connection, and opens one to the next machine after a failure. */
async function runClient(recorder, routers, index, until) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let machine = index % routers.length;
  await sleep((index * THINK_MS) / (CLIENTS_PER_ROUTER * routers.length));
  while (Date.now() < until) {
    const { error } = await sendOnce(recorder, routers[machine], agent);
    if (error !== undefined) machine = (machine + 1) % routers.length;
    await sleep(THINK_MS);
  }
  agent.destroy();
}

/**
 * Requests from kept connections that sound engines ran, and whose connection was closed without an
 * answer.
 */
function lostRequests({ entries }) {
  const soundRuns = new Set(
    entries.filter(({ what, isFaulty }) => what === 'run' && !isFaulty).map((run) => run.attempt),
  );
  return entries.filter(
    ({ what, attempt, isKept, status }) =>
      what === 'answered' && isKept && status === undefined && soundRuns.has(attempt),
  );
}

async function play({ recorder, store, deployment, engines }) {
  store.put('config', 'main', plainConfiguration(7, API_KEY));
  await store.start('127.0.32.100');
  for (const [index, engine] of engines.entries()) await engine.start(`127.0.32.${50 + index}`);
  const { address: storeAddress } = store;
  await deployment.startRouters({ ips: ROUTER_IPS, zones: ZONES, storeAddress });
  const { routers } = deployment;
  deployment.restartAfterExits();
  await sleep(2_000);
  const until = Date.now() + CALM_MS + TROUBLE_MS + AFTER_MS;
  const clients = Array.from({ length: CLIENTS_PER_ROUTER * routers.length }, (_, index) =>
    runClient(recorder, routers, index, until),
  );
  await sleep(CALM_MS);
  if (isDisrupted) {
    recorder.note({ what: 'garble begins', engines: FAULTY_ENGINES, oneIn: SPOILED_ONE_IN });
    for (const engine of engines.slice(0, FAULTY_ENGINES)) engine.spoilsOneIn = SPOILED_ONE_IN;
  }
  await sleep(TROUBLE_MS);
  for (const engine of engines) engine.spoilsOneIn = 0;
  recorder.note({ what: 'garble ends' });
  await Promise.all(clients);
  const answers = recorder.entries.filter(({ what, status }) => what === 'answered' && status);
  if (answers.length < 100) throw new Error(`only ${answers.length} requests were answered`);
  return result(recorder, lostRequests(recorder));
}

/** The losses at machines that have more of them than the rule allows. */
function result({ entries }, lost) {
  const byMachine = new Map();
  for (const { router } of lost) byMachine.set(router, (byMachine.get(router) ?? 0) + 1);
  const most = Math.max(0, ...byMachine.values());
  const exits = entries.filter(({ what }) => what === 'router ended by itself').length;
  const line =
    `${lost.length} requests lost at sound engines (most at one machine: ${most}); ` +
    `${exits} routers ended by themselves`;
  const breaks = lost
    .filter(({ router }) => byMachine.get(router) > ALLOWED_LOSSES)
    .map(({ attempt, router }) => ({ attempt, router }));
  return { breaks, line };
}

function createEngines(store, record) {
  return Array.from(
    { length: ENGINES },
    (_, index) =>
      new PlainEngine({
        id: `i-02d9e6b${index}`,
        service: PLAIN_SERVICE,
        zone: ZONES[index % ZONES.length],
        slots: 6,
        queue: 24,
        workMs: 86,
        store,
        record,
      }),
  );
}

await runCase(import.meta.url, { createEngines, play });
