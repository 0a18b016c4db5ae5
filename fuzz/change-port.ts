/** Mutation helper that replaces calls of a router's inference port. */
import type { InferencePort } from '../src/protocol/inference/port.js';

/** Returns a port that delegates to another one, except for the given calls. */
export function changePort(port: InferencePort, changes: Partial<InferencePort>): InferencePort {
  return {
    send: (...args) => port.send(...args),
    checkListener: (...args) => port.checkListener(...args),
    checkIncarnation: (...args) => port.checkIncarnation(...args),
    sendLoadCommand: (...args) => port.sendLoadCommand(...args),
    readWeightState: (...args) => port.readWeightState(...args),
    cacheEvents: (...args) => port.cacheEvents(...args),
    cacheContents: (address) => port.cacheContents(address),
    retain: (engineIds) => port.retain(engineIds),
    retainForwarders: (addresses) => port.retainForwarders(addresses),
    ...changes,
  };
}
