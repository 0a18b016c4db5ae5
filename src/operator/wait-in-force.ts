/** Waits until routers say that a configuration is in force. */
import { setTimeout as pause } from 'node:timers/promises';
import { readMetric } from '../telemetry/read-metric.js';

const REVISION_METRIC = 'peatspan_router_configuration_revision';
const POLL_MS = 200;
const LIMIT_MS = 30_000;

/** Polls the operations ports; answers whether all had the version in time. */
export async function waitUntilInForce(
  addresses: readonly string[],
  version: number,
  onProgress: (done: number) => void,
): Promise<boolean> {
  const deadlineMs = performance.now() + LIMIT_MS;
  let shown = -1;
  for (;;) {
    const revisions = await Promise.all(addresses.map(revisionAt));
    const done = revisions.filter((revision) => revision >= version).length;
    if (done !== shown) onProgress(done);
    shown = done;
    if (done === addresses.length) return true;
    if (performance.now() > deadlineMs) return false;
    await pause(POLL_MS);
  }
}

/** Revision in force at a router; 0 where it can't be reached. */
async function revisionAt(address: string): Promise<number> {
  try {
    const revision = await readMetric(address, REVISION_METRIC);
    return Number.isNaN(revision) ? 0 : revision;
  } catch {
    return 0;
  }
}
