/** Requests of all kinds through all routers of the simulated deployment, and what became of them. */
import type { GatewaySimulation } from './gateway-simulation.js';
import type { RequestKind } from './simulation-fixtures.js';

const KINDS: readonly RequestKind[] = [
  'plain-safe',
  'stream-resumable',
  'plain-unsafe',
  'stream-once',
];

/** Sends by turns through all routers for a while, one request each `gapMs`. */
export async function sendAllKinds(
  world: GatewaySimulation,
  forMs: number,
  gapMs: number,
): Promise<void> {
  for (let spentMs = 0; spentMs < forMs; spentMs += gapMs) {
    const turn = spentMs / gapMs;
    world.request(turn, KINDS[turn % KINDS.length] as RequestKind, 'tenant-2', 0);
    await world.clock.advance(gapMs);
  }
}

/** Share of all requests so far that were answered with success, 0 to 1. */
export function servedShare({ requests }: GatewaySimulation): number {
  return requests.filter(({ reply }) => reply.status === 200).length / requests.length;
}
