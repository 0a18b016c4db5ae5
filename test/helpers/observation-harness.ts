/** Routers of a simulated group that exchange observations. */
import {
  ObservationExchange,
  type ObservationParts,
} from '../../src/coordination/gateway/observation-exchange.js';
import { LoadCollection } from '../../src/coordination/gateway/load-collection.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { LoadTable } from '../../src/state/routing/load-table.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import type { GroupHarness } from './group-harness.js';

export const SETTLED_MS = 3_000;
/** A report and a summary, each after up to one exchange period, and the network latency. */
export const PROPAGATION_MS = 450;

/** Starts the exchange on one router; call again after the router was restarted. */
export function startExchange(
  harness: GroupHarness,
  index: number,
  observations: ObservationParts,
): void {
  const router = harness.routers[index];
  if (!router) throw new RangeError(`no router ${index}`);
  const { group, host } = router;
  const exchange = new ObservationExchange(group, observations, host);
  const collection = new LoadCollection({
    group,
    loads: new LoadTable(),
    registry: new EngineRegistry(),
    clock: host,
    logger: new NoopLogger(),
    listener: exchange,
  });
  group.onWorkDatagram = (body) => collection.receive(body);
  group.onObservationDatagram = (body) => exchange.receive(body);
  collection.start();
}

/** Index of the router that collects: with equal capacities the first one by name. */
export function collectorOf(harness: GroupHarness): number {
  const names = harness.routers.map(({ name }) => name);
  return names.indexOf([...names].sort()[0] as string);
}
