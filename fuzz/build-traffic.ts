/** Streams of the fuzz tests on builds, whose callers take them up again. */
import type { GatewaySimulation } from '../src/lab/gateway-simulation/gateway-simulation.js';
import { ReturningCallers } from '../src/lab/gateway-simulation/returning-callers.js';
import { ROUTERS } from '../src/lab/gateway-simulation/simulation-fixtures.js';

/** Builds of engines. */
export const BUILDS = ['build-1', 'build-2', 'build-3'] as const;
/** Time for routers to serve again after all were killed. */
export const OUTAGE_START_MS = 400;
const RETURNS = 8;
const RETURN_MS = 20;
const GAP_MS = 8;
const callersOf = new WeakMap<GatewaySimulation, ReturningCallers>();

/** The callers of a simulation, which take up each broken stream once. */
function returningCallers(simulation: GatewaySimulation): ReturningCallers {
  const callers = callersOf.get(simulation) ?? new ReturningCallers(simulation);
  callersOf.set(simulation, callers);
  return callers;
}

/** Sends streams that may be taken up, one after another, through all routers. */
export async function sendStreams(
  simulation: GatewaySimulation,
  forMs: number,
  gapMs = GAP_MS,
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += gapMs) {
    simulation.request(elapsedMs / gapMs, 'stream-resumable', 'tenant-2', 0);
    await simulation.clock.advance(gapMs);
  }
}

/** Lets callers take up their broken streams for a while. */
export async function takeUpStreams(simulation: GatewaySimulation): Promise<void> {
  for (let step = 0; step < RETURNS; step += 1) {
    await simulation.clock.advance(RETURN_MS);
    returningCallers(simulation).takeUpBroken();
  }
}

/** Kills all routers at once; they start again after a while. */
export function killAllRouters(simulation: GatewaySimulation, downMs: number): void {
  for (let router = 0; router < ROUTERS; router += 1) simulation.killRouter(router, downMs);
}
