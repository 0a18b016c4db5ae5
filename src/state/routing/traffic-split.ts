/** Distributes the requests of a route over its services by weight. */
import type { Route } from './configuration.js';

/**
 * Smooth weighted round robin: each choice adds its weight to the credit of every target and
 * selects the target with the highest credit. The shares hold over short periods too.
 */
export class TrafficSplit {
  private readonly creditByRoute = new Map<string, Map<string, number>>();

  /** Returns the service for the next request of the route. */
  next(route: Route): string | undefined {
    if (route.targets.length <= 1) return route.targets[0]?.service;
    const credits = this.creditsOf(route);
    let totalWeight = 0;
    let chosen: string | undefined;
    let highest = -Infinity;
    for (const { service, weight } of route.targets) {
      const credit = (credits.get(service) ?? 0) + weight;
      credits.set(service, credit);
      totalWeight += weight;
      if (credit > highest) {
        highest = credit;
        chosen = service;
      }
    }
    if (chosen !== undefined) credits.set(chosen, highest - totalWeight);
    return chosen;
  }

  /** Drops the state of routes that are no longer configured. */
  retain(routeNames: ReadonlySet<string>): void {
    for (const name of this.creditByRoute.keys()) {
      if (!routeNames.has(name)) this.creditByRoute.delete(name);
    }
  }

  private creditsOf(route: Route): Map<string, number> {
    let credits = this.creditByRoute.get(route.name);
    if (!credits) {
      credits = new Map();
      this.creditByRoute.set(route.name, credits);
    }
    return credits;
  }
}
