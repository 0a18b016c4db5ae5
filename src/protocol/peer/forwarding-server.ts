/**
 * Forwards connections of other routers to engines, byte by byte. A slow reader on either side
 * holds up the other, so that little is buffered for a connection.
 */
import net from 'node:net';
import { formatAddress, parseAddress } from '../../transport/address.js';
import type { ConnectionAccount, ConnectionShare } from '../../transport/connection-account.js';
import { TransportFailure } from '../../transport/errors.js';
import { readFirstFrame } from './first-frame.js';
import { ForwardStatus, decodeForwardRequest, encodeForwardReply } from './forwarding-codec.js';
import {
  ForwardingDecision,
  type ForwardingListener,
  type ForwardingPolicy,
  type ForwardingPort,
  type ForwardingTarget,
} from './forwarding-port.js';
import { startResponseTimeout } from '../../runtime/response-timeout.js';

/** Time until the first frame must have arrived. */
const REQUEST_TIMEOUT_MS = 1_000;
const ENGINE_CONNECT_TIMEOUT_MS = 350;
/** A connection without a byte in either direction for this long is closed: its router may be dead. */
const IDLE_TIMEOUT_MS = 30_000;

/** The TCP implementation of {@link ForwardingPort}. */
export class TcpForwarding implements ForwardingPort {
  /** @param account counts the connections; without it, they are not bounded */
  constructor(private readonly account?: ConnectionAccount) {}

  listen(address: string, policy: ForwardingPolicy): Promise<ForwardingListener> {
    const { host, port } = parseAddress(address);
    const forwarder = new Forwarder(policy, this.account);
    const server = net.createServer({ noDelay: true }, (socket) => forwarder.accept(socket));
    return new Promise((resolve, reject) => {
      server.once('error', (error) =>
        reject(new TransportFailure({ kind: 'listen-failed', address, reason: error.message })),
      );
      server.listen(port, host, () => {
        const bound = server.address() as net.AddressInfo;
        resolve({
          address: formatAddress(host, bound.port),
          get openConnections() {
            return forwarder.openConnections;
          },
          close: () => {
            server.close();
            forwarder.closeAll();
          },
        });
      });
    });
  }
}

/** The forwarded connections of one router. */
class Forwarder {
  private readonly sockets = new Set<net.Socket>();
  private forwarded = 0;

  constructor(
    private readonly policy: ForwardingPolicy,
    private readonly account: ConnectionAccount | undefined,
  ) {}

  get openConnections(): number {
    return this.forwarded;
  }

  accept(router: net.Socket): void {
    this.sockets.add(router);
    const share = this.account?.accept(() => router.destroy());
    router.once('close', () => {
      this.sockets.delete(router);
      share?.release();
    });
    // Every error is followed by a close event.
    router.on('error', () => undefined);
    router.setTimeout(REQUEST_TIMEOUT_MS, () => router.destroy());
    readFirstFrame(router, (contents) => {
      const target = decodeForwardRequest(contents);
      if (target) this.handle(router, target, share);
      else router.destroy();
    });
  }

  closeAll(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  private handle(
    router: net.Socket,
    target: ForwardingTarget,
    share: ConnectionShare | undefined,
  ): void {
    switch (this.policy.decide(target)) {
      case ForwardingDecision.Accepted:
        share?.setRunning(true);
        return this.connect(router, target);
      case ForwardingDecision.EngineUnknown:
        return refuse(router, ForwardStatus.ENGINE_UNKNOWN);
      case ForwardingDecision.Refused:
        return refuse(router, ForwardStatus.REFUSED);
    }
  }

  private connect(router: net.Socket, target: ForwardingTarget): void {
    const { host, port } = parseAddress(target.address);
    this.forwarded += 1;
    router.once('close', () => (this.forwarded -= 1));
    const engine = net.connect({ host, port, noDelay: true, allowHalfOpen: true });
    let isConnected = false;
    const timeout = startResponseTimeout(ENGINE_CONNECT_TIMEOUT_MS, () => engine.destroy());
    let failure = ForwardStatus.ENGINE_UNREACHABLE;
    engine.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') failure = ForwardStatus.ENGINE_REFUSED;
    });
    engine.once('connect', () => {
      isConnected = true;
      timeout.cancel();
      this.policy.onConnected(target, true);
      router.write(encodeForwardReply(ForwardStatus.CONNECTED));
      join(router, engine);
    });
    engine.once('close', () => {
      timeout.cancel();
      if (isConnected) return;
      // The router may have left meanwhile; then nothing is known about the engine.
      if (!router.destroyed) this.policy.onConnected(target, false);
      refuse(router, failure);
    });
    router.once('close', () => engine.destroy());
  }
}

/** Passes all bytes in both directions, and the way in which either connection ends. */
function join(router: net.Socket, engine: net.Socket): void {
  router.setTimeout(IDLE_TIMEOUT_MS, () => router.resetAndDestroy());
  // A reset must not look like the regular end of a response without a length. One that arrives
  // with the last bytes is reported as a regular end and shows only in the missing remote port.
  engine.on('error', () => router.resetAndDestroy());
  engine.on('end', () => {
    if (engine.remotePort === undefined) router.resetAndDestroy();
  });
  engine.once('close', () => {
    if (!router.writableEnded) router.resetAndDestroy();
  });
  // Routers do not half-close: the end of their side is the cancellation of the request.
  router.once('end', () => engine.destroy());
  router.pipe(engine, { end: false });
  engine.pipe(router);
}

function refuse(router: net.Socket, status: ForwardStatus): void {
  if (!router.destroyed) router.end(encodeForwardReply(status));
}
