/** Routers that keep one thing of an engine's former life, and one that trusts odd entries. */
import type { ObjectDecoder } from '../src/coordination/gateway/object-decoder.js';
import type { RouterView } from '../src/lab/gateway-simulation/simulation-mutation.js';
import type { StoredEngine } from '../src/lab/gateway-simulation/stored-engine.js';
import type { EngineRecord } from '../src/state/routing/engine-registry.js';
import { changePort } from './change-port.js';
import type { GatewayMutation } from './gateway-mutations.js';

/** Lets a decoder change each entry of an engine before a router sees it. */
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

/** The newest version that an engine has taken in any life is believed of its present one, by all routers. */
function keepVersions(): (view: RouterView) => RouterView {
  const newest = new Map<string, number>();
  return ({ engines, decoder }) => ({
    engines: changePort(engines, {
      order: async (endpoint, order) => {
        const result = await engines.order(endpoint, order);
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

/** The most orders that an engine has counted in any life are expected of its present one. */
function keepSequences({ engines, decoder }: RouterView): RouterView {
  const highest = new Map<string, number>();
  return {
    engines: changePort(engines, {
      weightState: async (endpoint, model) => {
        const state = await engines.weightState(endpoint, model);
        if (!state) return undefined;
        const orderSequence = Math.max(state.orderSequence, highest.get(endpoint.name) ?? 0);
        highest.set(endpoint.name, orderSequence);
        return { ...state, orderSequence };
      },
    }),
    decoder,
  };
}

/** The start of an engine is ignored wherever it is stated: all its lives are taken for one. */
function ignoreStarts({ engines, decoder }: RouterView): RouterView {
  const bornMs = undefined;
  return {
    engines: changePort(engines, {
      order: async (endpoint, order) => {
        const result = await engines.order(endpoint, order);
        return 'bornMs' in result ? { ...result, bornMs } : result;
      },
      weightState: async (endpoint, model) => {
        const state = await engines.weightState(endpoint, model);
        return state && { ...state, bornMs };
      },
      cacheEvents: async (...args) => ({ ...(await engines.cacheEvents(...args)), bornMs }),
      cacheContents: async (address) => ({ ...(await engines.cacheContents(address)), bornMs }),
    }),
    decoder: changeRecords(decoder, (record) => ({ ...record, id: record.name, bornMs })),
  };
}

/** The event feed at an address goes on from where it stood in any life. */
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

/** Neither its start nor the epoch of its feed shows that an engine has begun anew. */
function keepPrefixes(view: RouterView): RouterView {
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

/** An entry in a state that is not known is taken for one of an engine that is ready. */
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

/** The list. */
export const ENGINE_LIFE_MUTATIONS: readonly GatewayMutation[] = [
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

/** A router whose beliefs of what engines keep are wrong. */
export interface KeptPrefixesMutation {
  readonly name: string;
  readonly makeView: () => (view: RouterView) => RouterView;
}

/** Those that the fuzz on kept prefixes must find. */
export const KEPT_PREFIXES_MUTATIONS: readonly KeptPrefixesMutation[] = [
  { name: 'the feed of a former life is continued', makeView: continueFeeds },
  { name: 'the prefixes of a former life are believed kept', makeView: () => keepPrefixes },
];
