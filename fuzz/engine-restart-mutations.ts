/**
 * Mutations of routers: state of an engine's previous incarnation that is kept after a restart, and
 * malformed entries that are trusted.
 */
import type { ObjectDecoder } from '../src/coordination/gateway/object-decoder.js';
import type { RouterView } from '../src/lab/gateway-simulation/simulation-mutation.js';
import type { StoredEngine } from '../src/lab/gateway-simulation/stored-engine.js';
import type { EngineRecord } from '../src/state/routing/engine-registry.js';
import { changePort } from './change-port.js';
import type { GatewayMutation } from './gateway-mutations.js';

/** Wraps a decoder so that each decoded engine record is changed. */
function changeRecords(
  decoder: ObjectDecoder,
  change: (record: EngineRecord) => EngineRecord,
): ObjectDecoder {
  return {
    ...decoder,
    engine: (object) => {
      const decoded = decoder.engine(object);
      return decoded.kind === 'value' ? { kind: 'value', value: change(decoded.value) } : decoded;
    },
  };
}

/** All routers assume that an engine still has the newest version of any of its incarnations. */
function keepVersions(): (view: RouterView) => RouterView {
  const newest = new Map<string, number>();
  return ({ engines, decoder }) => ({
    engines: changePort(engines, {
      sendLoadCommand: async (endpoint, order) => {
        const result = await engines.sendLoadCommand(endpoint, order);
        if (result.kind === 'accepted') newest.set(endpoint.name, order.version);
        return result;
      },
    }),
    decoder: changeRecords(decoder, (record) => {
      const version = newest.get(record.name) ?? 0;
      const modelVersions = [...record.modelVersions].map(
        ([model, listed]) => [model, Math.max(listed, version)] as const,
      );
      return { ...record, modelVersions: new Map(modelVersions) };
    }),
  });
}

/** Routers expect the highest command sequence of any incarnation from the current one. */
function keepSequences({ engines, decoder }: RouterView): RouterView {
  const highest = new Map<string, number>();
  return {
    engines: changePort(engines, {
      readWeightState: async (endpoint, model) => {
        const state = await engines.readWeightState(endpoint, model);
        if (!state) return undefined;
        const orderSequence = Math.max(state.orderSequence, highest.get(endpoint.name) ?? 0);
        highest.set(endpoint.name, orderSequence);
        return { ...state, orderSequence };
      },
    }),
    decoder,
  };
}

/** Removes the start time of engines, so that all incarnations look like one. */
function ignoreStarts({ engines, decoder }: RouterView): RouterView {
  const startedAtMs = undefined;
  return {
    engines: changePort(engines, {
      sendLoadCommand: async (endpoint, order) => {
        const result = await engines.sendLoadCommand(endpoint, order);
        return 'startedAtMs' in result ? { ...result, startedAtMs } : result;
      },
      readWeightState: async (endpoint, model) => {
        const state = await engines.readWeightState(endpoint, model);
        return state && { ...state, startedAtMs };
      },
      cacheEvents: async (...args) => ({ ...(await engines.cacheEvents(...args)), startedAtMs }),
      cacheContents: async (address) => ({
        ...(await engines.cacheContents(address)),
        startedAtMs,
      }),
    }),
    decoder: changeRecords(decoder, (record) => ({ ...record, id: record.name, startedAtMs })),
  };
}

/** Continues the event feed at an address from the highest position of any incarnation. */
function continueFeeds(): (view: RouterView) => RouterView {
  const positions = new Map<string, number>();
  return ({ engines, decoder }) => ({
    engines: changePort(engines, {
      cacheEvents: async (address, since, waitMs) => {
        const position = Math.max(since, positions.get(address) ?? 0);
        const page = await engines.cacheEvents(address, position, waitMs);
        positions.set(address, page.next);
        return page;
      },
    }),
    decoder,
  });
}

/** Hides restarts: removes the start time and fixes the epoch of the event feed. */
function keepCachedPrefixes(view: RouterView): RouterView {
  const { engines, decoder } = ignoreStarts(view);
  const epoch = 1;
  return {
    engines: changePort(engines, {
      cacheEvents: async (...args) => ({ ...(await engines.cacheEvents(...args)), epoch }),
      cacheContents: async (address) => ({ ...(await engines.cacheContents(address)), epoch }),
    }),
    decoder,
  };
}

/** Treats entries with an unknown state as entries of ready engines. */
function trustStates({ engines, decoder }: RouterView): RouterView {
  return {
    engines,
    decoder: {
      ...decoder,
      engine: (object) => {
        if (object.spec === null) return decoder.engine(object);
        const entry = object.spec as StoredEngine;
        const isDraining = (entry.isDraining as unknown) === true;
        return decoder.engine({ ...object, spec: { ...entry, isDraining } });
      },
    },
  };
}

/** Mutations that the fuzz test on engine restarts must detect. */
export const ENGINE_RESTART_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'versions of a former life are believed of the present one',
    rule: 'weights-in-force',
    mutation: { makeView: keepVersions },
  },
  {
    name: 'the orders that a former life has counted are expected of the present one',
    rule: 'weights-in-force',
    mutation: { makeView: () => keepSequences },
  },
  {
    name: 'all lives of an engine are taken for one',
    rule: 'weights-in-force',
    mutation: { makeView: () => ignoreStarts },
  },
  {
    name: 'entries in an unknown state are used',
    rule: 'odd-entry-unused',
    mutation: { makeView: () => trustStates },
  },
];

/** A mutation that makes a router's estimate of cached prefixes wrong. */
export interface CachedPrefixesMutation {
  readonly name: string;
  readonly makeView: () => (view: RouterView) => RouterView;
}

/** Mutations that the fuzz test on cached prefixes must detect. */
export const CACHED_PREFIXES_MUTATIONS: readonly CachedPrefixesMutation[] = [
  { name: 'the feed of a former life is continued', makeView: continueFeeds },
  { name: 'the prefixes of a former life are believed kept', makeView: () => keepCachedPrefixes },
];
