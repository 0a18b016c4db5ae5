/** Size and configuration of the simulated deployment for fuzz tests. */
import { hashKey } from '../../coordination/shared/configuration.js';
import type { TemplateSet } from '../../state/template-set.js';

/** Zones and their sites. */
export const SIMULATION_ZONES = [
  { zone: 'zone-a', site: 'old' },
  { zone: 'zone-b', site: 'old' },
  { zone: 'zone-c', site: 'new' },
] as const;

export const SIMULATION_ROUTERS = 3;
export const SIMULATION_AGENTS = 2;
export const SIMULATION_ENGINES = 4;
export const SIMULATION_BACKENDS = 2;
export const SIMULATION_TENANTS = ['tenant-a', 'tenant-b'] as const;
export const SIMULATION_MODEL = 'model';
export const SIMULATION_SERVICE = 'booking';

/** Weights digests by version name. */
export const SIMULATION_WEIGHTS = { v1: 'weights-one', v2: 'weights-two' } as const;

/** A version name of the model. */
export type SimulationVersion = keyof typeof SIMULATION_WEIGHTS;

/** Returns a configuration with the given model version and request priority. */
export function simulationTemplates(version: SimulationVersion, priority: number): TemplateSet {
  return {
    models: {
      [SIMULATION_MODEL]: {
        versions: {
          v1: { weights_digest: SIMULATION_WEIGHTS.v1, adapter_digest: '' },
          v2: { weights_digest: SIMULATION_WEIGHTS.v2, adapter_digest: '' },
        },
      },
    },
    services: {
      [SIMULATION_SERVICE]: {
        operations: {
          menu: { repeatable: true, hedged: true },
          hold: { repeatable: false, hedged: false },
        },
      },
    },
    templates: {
      standard: {
        models: { [SIMULATION_MODEL]: version },
        services: [SIMULATION_SERVICE],
        prefix_budget_tokens: 100_000,
        site_shares: { old: 0.5, new: 0.5 },
        priority,
        recompute_weight: 0.5,
        maximum_concurrent: 64,
        retry_share: 0.1,
      },
    },
    tenants: Object.fromEntries(
      SIMULATION_TENANTS.map((tenant) => [
        tenant,
        { template: 'standard', keys: [{ sha256: hashKey(`key-${tenant}`) }], parameters: {} },
      ]),
    ),
  };
}
