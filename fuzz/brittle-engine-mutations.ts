/** Mutations that make routers overload brittle engines. */
import { changeNotices } from './change-notices.js';
import type { GatewayMutation } from './gateway-mutations.js';

/** Mutations that the fuzz test on brittle engines must detect. */
export const BRITTLE_ENGINE_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'tolerances announced by engines are ignored',
    rule: 'engines-spared',
    mutation: {
      makeView: changeNotices((notice) => ({ ...notice, rejectionTolerance: undefined })),
    },
  },
];
