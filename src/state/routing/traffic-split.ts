/** Divides the requests of a route over its services by weight, evenly even over short spans. */
import type { Route } from './configuration.js';

/** Smooth weighted round robin: each choice raises every target by its weight, the highest wins. */
export class TrafficSplit {
  private readonly creditByRoute = new Map<string, Map<string, number>>();

  /** The service of the route's next request. */
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

  /** Forgets routes that the configuration no longer holds. */
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
