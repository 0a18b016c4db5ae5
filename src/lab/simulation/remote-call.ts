/** Simulates an HTTP call from a host to a fake service, including connection failures. */
import { ProtocolFailure } from '../../protocol/errors.js';
import type { HostClock } from './host-clock.js';
import type { SimulatedNetwork } from './simulated-network.js';

const CONNECT_TIMEOUT_MS = 2_000;

/** The destination of a call. */
export interface RemoteTarget {
  readonly hostName: string;
  /** Whether its process is running. */
  isUp(): boolean;
}

/**
 * Runs `handle` at the target and returns its response. Fails with `unreachable` if the request was
 * not sent, and with `interrupted` if it was sent but no response arrived.
 */
export function callRemote<T>(
  network: SimulatedNetwork,
  callerName: string,
  caller: HostClock,
  target: RemoteTarget,
  timeoutMs: number,
  handle: () => Promise<T> | T,
): Promise<T> {
  const address = target.hostName;
  return new Promise<T>((resolve, reject) => {
    const fail = (kind: 'unreachable' | 'interrupted', reason: string): void =>
      caller.deliver(() => reject(new ProtocolFailure({ kind, address, reason })));
    if (network.isCut(callerName, target.hostName)) {
      network.clock.setTimer(CONNECT_TIMEOUT_MS, () => fail('unreachable', 'timeout'));
      return;
    }
    network.clock.setTimer(timeoutMs, () => fail('interrupted', 'timeout'));
    const respond = (value: T): void => {
      // A response that meets a partition is lost, as on a broken connection.
      if (network.isCut(callerName, target.hostName)) fail('interrupted', 'connection lost');
      else caller.deliver(() => resolve(value));
    };
    network.clock.setTimer(network.delayMs(), () => {
      if (!target.isUp()) {
        network.clock.setTimer(network.delayMs(), () => fail('unreachable', 'refused'));
        return;
      }
      Promise.resolve()
        .then(handle)
        .then(
          (value) => network.clock.setTimer(network.delayMs(), () => respond(value)),
          (error: unknown) =>
            network.clock.setTimer(network.delayMs(), () =>
              error instanceof ProtocolFailure
                ? caller.deliver(() => reject(error))
                : fail('interrupted', 'connection lost'),
            ),
        );
    });
  });
}
