/** Waits until routers report that a configuration is in force. */
import { setTimeout as pause } from 'node:timers/promises';
import { readMetric } from '../telemetry/read-metric.js';

const REVISION_METRIC = 'peatspan_router_configuration_revision';
const POLL_MS = 200;
const TIMEOUT_MS = 30_000;

/** Polls the operations ports; returns whether all routers reach the version before the timeout. */
export async function waitUntilInForce(
  addresses: readonly string[],
  version: number,
  onProgress: (readyCount: number) => void,
): Promise<boolean> {
  const deadlineMs = performance.now() + TIMEOUT_MS;
  let reportedCount = -1;
  for (;;) {
    const revisions = await Promise.all(addresses.map(revisionAt));
    const readyCount = revisions.filter((revision) => revision >= version).length;
    if (readyCount !== reportedCount) onProgress(readyCount);
    reportedCount = readyCount;
    if (readyCount === addresses.length) return true;
    if (performance.now() > deadlineMs) return false;
    await pause(POLL_MS);
  }
}

/** Configuration revision in force on a router; 0 if it can't be reached. */
async function revisionAt(address: string): Promise<number> {
  try {
    const revision = await readMetric(address, REVISION_METRIC);
    return Number.isNaN(revision) ? 0 : revision;
  } catch {
    return 0;
  }
}
