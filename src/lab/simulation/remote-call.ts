/** Request and answer between a simulated host and a stand-in, with the failures HTTP would show. */
import { ProtocolFailure } from '../../protocol/errors.js';
import type { HostClock } from './host-clock.js';
import type { SimulatedNetwork } from './simulated-network.js';

const CONNECT_TIMEOUT_MS = 2_000;

/** Where a call goes. */
export interface RemoteTarget {
  readonly hostName: string;
  /** Whether its process runs now. */
  isUp(): boolean;
}

/**
 * Runs `handle` at the target and brings its answer back. Nothing sent: `unreachable`. Sent and no
 * answer: `interrupted`.
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
    const answer = (value: T): void => {
      // An answer that meets a cut is lost, as with a connection that breaks.
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
          (value) => network.clock.setTimer(network.delayMs(), () => answer(value)),
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
