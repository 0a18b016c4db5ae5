/** A step of the gateway's fuzz. */
import type fc from 'fast-check';
import type { GatewaySimulation } from '../src/lab/gateway-simulation/gateway-simulation.js';

/** The oracle reads the world; commands remember nothing. */
export type NoModel = Record<string, never>;

/** A command over the simulated deployment. */
export type GatewayCommand = fc.AsyncCommand<NoModel, GatewaySimulation>;

/** A command that may come at any time, by its description, which is what a failing run prints. */
export function command(
  description: string,
  action: (world: GatewaySimulation) => Promise<void> | void,
): GatewayCommand {
  return {
    check: () => true,
    run: async (_model, world) => {
      await action(world);
    },
    toString: () => description,
  };
}
