/** Traffic of all kinds of request through all routers, and its success rate. */
import type { GatewaySimulation } from './gateway-simulation.js';
import type { RequestKind } from './simulation-fixtures.js';

const KINDS: readonly RequestKind[] = [
  'plain-safe',
  'stream-resumable',
  'plain-unsafe',
  'stream-once',
];

/** Sends a request every `gapMs` for `forMs`, in rotation over routers and kinds. */
export async function sendAllKinds(
  simulation: GatewaySimulation,
  forMs: number,
  gapMs: number,
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += gapMs) {
    const step = elapsedMs / gapMs;
    simulation.request(step, KINDS[step % KINDS.length] as RequestKind, 'tenant-2', 0);
    await simulation.clock.advance(gapMs);
  }
}

/** Share of all requests so far that succeeded, from 0 to 1. */
export function servedShare({ requests }: GatewaySimulation): number {
  return requests.filter(({ reply }) => reply.status === 200).length / requests.length;
}
