/** Mutations of routers, each with the rule whose violation the fuzz test must detect. */
import type { ObjectDecoder } from '../src/coordination/gateway/object-decoder.js';
import type { GatewayRule } from '../src/lab/gateway-simulation/gateway-oracle.js';
import type { SimulationMutation } from '../src/lab/gateway-simulation/simulation-mutation.js';
import { simulationSettings } from '../src/lab/gateway-simulation/simulation-fixtures.js';
import type { RoutingConfiguration } from '../src/state/routing/configuration.js';

/** A mutation and the rule that it breaks. */
export interface GatewayMutation {
  readonly name: string;
  readonly rule: GatewayRule;
  readonly mutation: SimulationMutation;
  /** Seed with which the fuzz test detects the mutation; the first seed by default. */
  readonly seed?: number;
}

/** Creates a mutation that changes each decoded configuration. */
export function changeConfiguration(
  change: (configuration: RoutingConfiguration) => RoutingConfiguration,
): SimulationMutation {
  return {
    decoder: (decoder: ObjectDecoder) => ({
      ...decoder,
      configuration: (object) => {
        const decoded = decoder.configuration(object);
        if (decoded.kind !== 'value') return decoded;
        return { kind: 'value', value: change(decoded.value) };
      },
    }),
  };
}

/** Mutations that the gateway's fuzz test must detect. */
export const GATEWAY_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'proofs of the configuration never expire',
    rule: 'key-removed',
    mutation: { settings: { proofLifetimeMs: Infinity } },
  },
  {
    name: 'a new lease holder does not wait for the previous lease to expire',
    rule: 'one-holder',
    mutation: { settings: { leaseMs: -5_000 } },
    seed: 2,
  },
  {
    name: 'proofs do not age while the machine is suspended',
    rule: 'key-removed',
    mutation: { countsSuspensions: false },
  },
  {
    name: 'requests that crash engines are never quarantined',
    rule: 'crashes-bounded',
    mutation: {
      settings: {
        requestQuarantine: {
          crashes: Infinity,
          mergedWithinMs: 0,
          hasSingleCause: false,
          unprovenWithinMs: 0,
          hasTrials: false,
        },
      },
    },
  },
  {
    name: 'relayed state is accepted regardless of its age',
    rule: 'engine-drained',
    mutation: {
      settings: { relay: { ...simulationSettings('any').relay, maximumProofAgeMs: Infinity } },
    },
  },
  {
    name: 'draining engines are treated as ready',
    rule: 'engine-drained',
    mutation: {
      decoder: (decoder) => ({
        ...decoder,
        engine: (object) => {
          const decoded = decoder.engine(object);
          if (decoded.kind !== 'value') return decoded;
          return { kind: 'value', value: { ...decoded.value, isDraining: false } };
        },
      }),
    },
  },
  {
    name: 'requests that may run only once are treated as repeatable',
    rule: 'at-most-once',
    mutation: changeConfiguration((configuration) => ({
      ...configuration,
      routes: configuration.routes.map((route) => ({ ...route, isRepeatable: true })),
    })),
  },
  {
    name: 'isolated tenants share cached prompts',
    rule: 'own-salt',
    mutation: changeConfiguration((configuration) => ({
      ...configuration,
      tenants: configuration.tenants?.map((tenant) => ({ ...tenant, isIsolated: false })),
    })),
  },
  {
    name: 'streams that must not be resumed are resumed',
    rule: 'at-most-once',
    mutation: changeConfiguration((configuration) => ({
      ...configuration,
      routes: configuration.routes.map((route) => ({ ...route, isResumable: route.isStreaming })),
    })),
  },
];
