/** Checks that the routers of a soak together kept the limit of a tenant. */
import type { CallRecord } from './callers.js';
import type { SoakRecord, Violation } from './oracle.js';
import { SLACK_MS } from './router-process.js';
import { STREAM_EVENTS } from './stream-events.js';
import {
  LIMITED_TENANT,
  QUOTA_BOUNDS,
  STREAM_PROMPT_TOKENS,
  TENANT_LIMIT,
} from './tenant-quotas.js';

const MILLISECONDS_PER_SECOND = 1_000;
const WINDOW_MS = QUOTA_BOUNDS.quota_window_s * MILLISECONDS_PER_SECOND;

/** A run of a request and what it is charged. */
interface ChargedRun {
  readonly atMs: number;
  readonly tokens: number;
}

/** Violations of the limit: at most one, of the first window. */
export function judgeTenantQuotas({ calls, observations }: SoakRecord): Violation[] {
  const callsById = new Map(calls.map((call) => [call.id, call]));
  const runs = observations.runs
    .filter(({ tenant }) => tenant === LIMITED_TENANT)
    .map(({ requestId, startedMs }): ChargedRun => {
      const call = callsById.get(requestId);
      return { atMs: startedMs, tokens: call ? chargeOf(call) : 0 };
    })
    .sort((left, right) => left.atMs - right.atMs);
  const allowed = allowedTokens();
  const tokens = firstExceedingWindow(runs, allowed);
  if (tokens === undefined) return [];
  const detail = `${tokens} tokens of ${LIMITED_TENANT} ran in a window, ${allowed} allowed`;
  return [{ promise: 'tenant-limit', detail }];
}

function chargeOf({ kind }: CallRecord): number {
  const isStream = kind.startsWith('stream');
  return isStream ? STREAM_PROMPT_TOKENS + STREAM_EVENTS : TENANT_LIMIT.plain_tokens;
}

/** On a busy machine requests that were sent over a longer time may arrive together. */
function allowedTokens(): number {
  const seconds = (WINDOW_MS + SLACK_MS) / MILLISECONDS_PER_SECOND;
  const limit = TENANT_LIMIT.rate_per_s * seconds + TENANT_LIMIT.burst;
  return limit * (1 + QUOTA_BOUNDS.quota_overage) + QUOTA_BOUNDS.quota_slack;
}

/** Tokens of the first window that exceeds what is allowed. */
function firstExceedingWindow(runs: readonly ChargedRun[], allowed: number): number | undefined {
  let first = 0;
  let tokens = 0;
  for (const run of runs) {
    tokens += run.tokens;
    for (let oldest = runs[first]; oldest; oldest = runs[first]) {
      if (oldest.atMs > run.atMs - WINDOW_MS) break;
      tokens -= oldest.tokens;
      first += 1;
    }
    if (tokens > allowed) return tokens;
  }
  return undefined;
}
