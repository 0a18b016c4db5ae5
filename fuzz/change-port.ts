/** What a mutation changes of a router's access to engines. */
import type { InferencePort } from '../src/protocol/inference/port.js';

/** The port with some of its calls replaced. */
export function changePort(port: InferencePort, changes: Partial<InferencePort>): InferencePort {
  return {
    send: (...args) => port.send(...args),
    checkListener: (endpoint) => port.checkListener(endpoint),
    order: (...args) => port.order(...args),
    weightState: (...args) => port.weightState(...args),
    cacheEvents: (...args) => port.cacheEvents(...args),
    cacheContents: (address) => port.cacheContents(address),
    retain: (engineIds) => port.retain(engineIds),
    ...changes,
  };
}
