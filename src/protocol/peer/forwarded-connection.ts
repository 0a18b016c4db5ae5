/** Opens connections to engines through other routers. */
import net from 'node:net';
import { startResponseTimeout } from '../../runtime/response-timeout.js';
import { parseAddress } from '../../transport/address.js';
import { readFirstFrame } from './first-frame.js';
import { ForwardStatus, decodeForwardReply, encodeForwardRequest } from './forwarding-codec.js';
import type { ForwardingTarget } from './forwarding-port.js';

/** What prevented a forwarded connection. */
export enum ForwardingFault {
  /** The other router is unreachable, or does not forward the connection. */
  Forwarder = 'forwarder',
  /** The other router can't reach the engine. */
  Engine = 'engine',
  /** Nothing listens at the engine's address. */
  NoListener = 'no-listener',
}

/** A connection that could not be forwarded. No byte of a request was sent. */
export class ForwardingError extends Error {
  constructor(
    readonly fault: ForwardingFault,
    reason: string,
  ) {
    super(reason);
    this.name = 'ForwardingError';
  }
}

/** Longer than the other router waits for its own connection to the engine. */
const OPEN_TIMEOUT_MS = 700;

/**
 * Opens a connection to an engine through the router at `forwarder` (HOST:PORT). Calls `onOpened`
 * once, with the connected socket or an error.
 */
export function openForwardedConnection(
  forwarder: string,
  target: ForwardingTarget,
  onOpened: (result: net.Socket | ForwardingError) => void,
): void {
  const { host, port } = parseAddress(forwarder);
  const socket = net.connect({ host, port, noDelay: true });
  const onError = (error: Error): void => fail(ForwardingFault.Forwarder, error.message);
  const onEnd = (): void => fail(ForwardingFault.Forwarder, 'closed by the forwarder');
  let isSettled = false;
  const settle = (): boolean => {
    if (isSettled) return false;
    isSettled = true;
    timeout.cancel();
    return true;
  };
  const fail = (fault: ForwardingFault, reason: string): void => {
    if (!settle()) return;
    socket.destroy();
    onOpened(new ForwardingError(fault, `forwarding: ${reason}`));
  };
  const onTimeout = (): void => fail(ForwardingFault.Forwarder, 'timeout');
  const timeout = startResponseTimeout(OPEN_TIMEOUT_MS, onTimeout);
  socket.on('error', onError);
  socket.on('end', onEnd);
  socket.once('connect', () => socket.write(encodeForwardRequest(target)));
  readFirstFrame(socket, (contents) => {
    const status = decodeForwardReply(contents);
    if (status !== ForwardStatus.CONNECTED) {
      fail(faultOf(status), ForwardStatus[status].toLowerCase());
      return;
    }
    if (!settle()) return;
    socket.removeListener('error', onError);
    socket.removeListener('end', onEnd);
    onOpened(socket);
  });
}

function faultOf(status: ForwardStatus): ForwardingFault {
  if (status === ForwardStatus.ENGINE_UNREACHABLE) return ForwardingFault.Engine;
  if (status === ForwardStatus.ENGINE_REFUSED) return ForwardingFault.NoListener;
  return ForwardingFault.Forwarder;
}
