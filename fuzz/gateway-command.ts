/** Command type of the gateway's fuzz tests. */
import type fc from 'fast-check';
import type { GatewaySimulation } from '../src/lab/gateway-simulation/gateway-simulation.js';

/** Empty model: commands keep no state, and the oracle reads the simulation instead. */
export type NoModel = Record<string, never>;

/** A command that runs on the simulated deployment. */
export type GatewayCommand = fc.AsyncCommand<NoModel, GatewaySimulation>;

/** Creates a command that may run at any time. A failing run prints its description. */
export function command(
  description: string,
  action: (simulation: GatewaySimulation) => Promise<void> | void,
): GatewayCommand {
  return {
    check: () => true,
    run: async (_model, simulation) => {
      await action(simulation);
    },
    toString: () => description,
  };
}
