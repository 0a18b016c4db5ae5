/** A prompt part that is quarantined in the store of a simulated deployment. */
import { CrashSubject } from '../../src/coordination/gateway/crash-guard.js';
import type { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { KINDS, SIMULATION_MODEL } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { promptPartFingerprintOf } from '../../src/state/routing/request-fingerprint.js';

/** Stores the quarantine of a prompt part; routers apply it when they list it next. */
export function storeQuarantine({ store, clock }: GatewaySimulation, partId: string): void {
  const part = { model: SIMULATION_MODEL, isolatedTenant: undefined, partId };
  store.put(KINDS.quarantine, promptPartFingerprintOf(part), {
    tenant: 'tenant-2',
    route: 'stream-resumable',
    path: '/stream/stream-resumable/x',
    subject: CrashSubject.PromptPart,
    engines: [],
    quarantinedAtMs: clock.wallNow(),
  });
}
