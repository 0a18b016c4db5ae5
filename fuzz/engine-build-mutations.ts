/** Mutations on routers that continue streams of engines of several builds. */
import type { GatewayMutation } from './gateway-mutations.js';

/** Mutations that the fuzz test on builds must detect. */
export const ENGINE_BUILD_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'streams go on at engines of any build',
    rule: 'one-build',
    mutation: {
      decoder: (decoder) => ({
        ...decoder,
        engine: (object) => {
          const decoded = decoder.engine(object);
          if (decoded.kind !== 'value') return decoded;
          return { kind: 'value', value: { ...decoded.value, build: undefined } };
        },
      }),
    },
  },
];
