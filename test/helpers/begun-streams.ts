/** Streams that have begun at the engines of a simulated deployment. */
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import type { ObservedRequest } from '../../src/lab/gateway-simulation/simulation-records.js';
import { sendAllKinds } from '../../src/lab/gateway-simulation/simulation-traffic.js';

const BEFORE_MS = 1_500;
const GAP_MS = 20;
const STREAMS = 6;
/** Time after which a stream sends its first events. */
const FIRST_EVENTS_MS = 14;

/** A deployment whose last requests are streams that have begun. */
export interface BegunStreams {
  readonly simulation: GatewaySimulation;
  /** The streams, which are resumable. */
  readonly streams: () => readonly ObservedRequest[];
}

/** Starts a deployment, sends it requests of all kinds, and then streams until they have begun. */
export async function startBegunStreams(seed: number): Promise<BegunStreams> {
  const simulation = await GatewaySimulation.create(seed);
  await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
  await simulation.clock.advance(BEFORE_MS);
  const first = simulation.requests.length;
  for (let count = 0; count < STREAMS; count += 1)
    simulation.request(count, 'stream-resumable', 'tenant-2', 0);
  await simulation.clock.advance(FIRST_EVENTS_MS);
  return { simulation, streams: () => simulation.requests.slice(first, first + STREAMS) };
}

/** Ends of the streams that did not reach their callers whole. */
export function incompleteEnds({ streams }: BegunStreams): unknown[] {
  return streams()
    .map(({ reply }) => reply.ending)
    .filter((ending) => ending !== 'whole');
}
