/** Checks that routers seldom make brittle engines fail by requests that these have no room for. */
import type { GatewaySimulation } from './gateway-simulation.js';
import type { BrittlePeriod } from './simulated-fleet.js';

/** A period in which the engines of a service failed too often. */
export interface FallBreach {
  readonly rule: 'engines-spared';
  readonly detail: string;
}

/** Failures that are allowed in a period, in total and as a share of the service's engines. */
const ALLOWED_FALLS = 2;
const ALLOWED_FALL_SHARE = 0.1;

/** Returns the periods with too many failures. */
export function judgeFalls(simulation: GatewaySimulation): FallBreach[] {
  return simulation.fleet.brittlePeriods.flatMap((period) => judgePeriod(period, simulation));
}

function judgePeriod(period: BrittlePeriod, simulation: GatewaySimulation): FallBreach[] {
  const { service, engines, fromMs, untilMs } = period;
  const falls = simulation.observations.falls.filter(
    (fall) =>
      fall.service === service &&
      fall.atMs >= fromMs &&
      fall.atMs < untilMs &&
      isByUndisturbedRouters(fall.routers, fall.atMs, simulation),
  );
  if (falls.length <= ALLOWED_FALLS + engines * ALLOWED_FALL_SHARE) return [];
  const times = falls.map(({ engineId, atMs }) => `${engineId} at ${atMs}`).join(', ');
  return [{ rule: 'engines-spared', detail: `${service} from ${fromMs}: ${times}` }];
}

/** Whether most of the rejected requests came from routers that were not disturbed. */
function isByUndisturbedRouters(
  routers: readonly string[],
  atMs: number,
  { disturbances }: GatewaySimulation,
): boolean {
  const undisturbed = routers.filter((router) => !disturbances.isDisturbed(router, atMs));
  return undisturbed.length * 2 > routers.length;
}
