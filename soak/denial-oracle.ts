/** Checks that few requests which crash no engine are rejected as if they did. */
import type { CallRecord } from './callers.js';
import { CRASHING_BODY_PREFIX } from './messages.js';
import type { Violation } from './oracle.js';

/** Sound requests that may be rejected for good: some, and a share of all. */
const MAXIMUM_DENIALS = 5;
const MAXIMUM_DENIED_SHARE = 1 / 500;
const CRASHES_ENGINES = 422;

/** Plain requests have no prompt parts, so that such a status blames the request itself. */
export function judgeDenials(calls: readonly CallRecord[]): Violation[] {
  const denied = calls.filter(
    ({ kind, status, sentBody }) =>
      kind.startsWith('plain') &&
      status === CRASHES_ENGINES &&
      !sentBody.startsWith(CRASHING_BODY_PREFIX),
  );
  if (denied.length <= MAXIMUM_DENIALS + calls.length * MAXIMUM_DENIED_SHARE) return [];
  const bodies = [...new Set(denied.map(({ sentBody }) => sentBody))].join(', ');
  const detail = `${denied.length} of ${calls.length} calls: ${bodies}`;
  return [{ promise: 'sound-denied', detail }];
}
