/** The objects that the operator keeps in the store, and requests to them. */
import { Buffer } from 'node:buffer';
import { call } from './http.mjs';

export const MODEL = 'daka510000';
export const HOST = 'jepu9.example';
export const PATH_PREFIX = '/lepu270/';
export const SERVICE = 'huvo11a';

/** A configuration with one streaming route to the model engines. */
export function configuration(version, tenants) {
  const engine = {
    slots: 64,
    kv_capacity_tokens: 99487,
    kv_token_bytes: 18432,
    link_mbps: 550000,
    moves: true,
    max_in_flight: 12,
    models: [{ name: MODEL }],
  };
  return {
    version,
    routes: [
      {
        name: 'r-eya6u6s',
        host: HOST,
        path_prefix: PATH_PREFIX,
        kind: 'streaming',
        timeout_ms: 4000,
        target_latency_ms: 600,
        priority: 1,
        service: SERVICE,
        max_attempts: 1,
        public_access: false,
        session_affinity: true,
        resumable: false,
        target_gap_ms: 500,
      },
    ],
    services: [
      { name: SERVICE, health_path: '/health', max_connections: 370, protocol: 'h1', engine },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants,
  };
}

export const PLAIN_SERVICE = 'kafi81c';
export const PLAIN_PREFIX = '/fiti832/ti23/';

/** A configuration with one route to a plain service whose requests may not be repeated. */
export function plainConfiguration(version, apiKey) {
  const { routes, services, ...rest } = configuration(version, [
    { name: 'sese880', api_keys: [apiKey], priority: 1, isolated: false },
  ]);
  const [, ...others] = services;
  return {
    ...rest,
    routes: [
      {
        name: 'r-plain',
        host: routes[0].host,
        path_prefix: PLAIN_PREFIX,
        kind: 'unsafe',
        timeout_ms: 1500,
        target_latency_ms: 300,
        priority: 2,
        service: PLAIN_SERVICE,
        max_attempts: 1,
        public_access: false,
      },
    ],
    services: [
      ...others,
      { name: PLAIN_SERVICE, health_path: '/health', max_connections: 110, protocol: 'h1' },
    ],
  };
}

let attempts = 0;

/** Sends one request for a generation and records it with its answer. */
export async function generate(recorder, router, { tenant, apiKey, parts, outputTokens = 8 }) {
  attempts += 1;
  const attempt = `a${String(attempts).padStart(6, '0')}`;
  const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
  const prompt = parts.map(({ id, tokens }) => `${id}:${tokens}`).join(',');
  const body = Buffer.alloc(promptTokens, 'p');
  const sent = recorder.note({ what: 'sent', attempt, tenant, router: router.name, prompt });
  const answer = await call({
    ...router.frontend,
    method: 'POST',
    path: `${PATH_PREFIX}2f`,
    headers: {
      Host: HOST,
      'X-Peatspan-Attempt-Id': attempt,
      'X-Peatspan-Model': MODEL,
      'X-Peatspan-Token-Usage': `${promptTokens},${outputTokens}`,
      'X-Peatspan-Prompt-Prefix': prompt,
      'X-Peatspan-Time-Budget-Ms': '4000',
      'Api-Key': apiKey,
      'Content-Length': String(body.length),
    },
    body,
  });
  const { status, error, isComplete } = answer;
  const events = (answer.body?.match(/^id: /gm) ?? []).length;
  const seal = answer.headers?.['x-peatspan-response-seal'];
  recorder.note({ what: 'answered', attempt, status, error, isComplete, events, seal });
  return { attempt, sentMs: sent.ms, router: router.name, status, error, isComplete, events };
}
