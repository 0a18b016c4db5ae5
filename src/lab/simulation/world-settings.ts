/** The small deployment that the fuzz runs on: 3 routers in 3 zones, 2 agents, 4 engines, 2 back ends. */
import { hashKey } from '../../coordination/shared/configuration.js';
import type { TemplateSet } from '../../state/template-set.js';

/** Zones of the simulated deployment, and their sites. */
export const WORLD_ZONES = [
  { zone: 'zone-a', site: 'old' },
  { zone: 'zone-b', site: 'old' },
  { zone: 'zone-c', site: 'new' },
] as const;

export const WORLD_ROUTERS = 3;
export const WORLD_AGENTS = 2;
export const WORLD_ENGINES = 4;
export const WORLD_BACKENDS = 2;
export const WORLD_TENANTS = ['tenant-a', 'tenant-b'] as const;
export const WORLD_MODEL = 'model';
export const WORLD_SERVICE = 'booking';

/** Weights by version name. */
export const WORLD_WEIGHTS = { v1: 'weights-one', v2: 'weights-two' } as const;

/** A version name of the simulated model. */
export type WorldVersion = keyof typeof WORLD_WEIGHTS;

/** The first configuration. */
export function worldTemplates(version: WorldVersion, priority: number): TemplateSet {
  return {
    models: {
      [WORLD_MODEL]: {
        versions: {
          v1: { weights_digest: WORLD_WEIGHTS.v1, adapter_digest: '' },
          v2: { weights_digest: WORLD_WEIGHTS.v2, adapter_digest: '' },
        },
      },
    },
    services: {
      [WORLD_SERVICE]: {
        operations: {
          menu: { repeatable: true, hedged: true },
          hold: { repeatable: false, hedged: false },
        },
      },
    },
    templates: {
      standard: {
        models: { [WORLD_MODEL]: version },
        services: [WORLD_SERVICE],
        prefix_budget_tokens: 100_000,
        site_shares: { old: 0.5, new: 0.5 },
        priority,
        recompute_weight: 0.5,
        maximum_concurrent: 64,
        retry_share: 0.1,
      },
    },
    tenants: Object.fromEntries(
      WORLD_TENANTS.map((tenant) => [
        tenant,
        { template: 'standard', keys: [{ sha256: hashKey(`key-${tenant}`) }], parameters: {} },
      ]),
    ),
  };
}
