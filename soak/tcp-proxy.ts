/** A loopback proxy that treats its connections as a faulty network does. */
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';

/** What becomes of the bytes. */
export enum ProxyMode {
  Pass = 'pass',
  /** Connections stay open and say nothing, in both directions; new ones too. */
  Silent = 'silent',
  /** Requests go through, answers don't. */
  OneWay = 'one-way',
  /** Every answer comes later. */
  Slow = 'slow',
  /** Every connection is reset, new ones at once. */
  Reset = 'reset',
}

const SLOW_MS = 250;

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

/** One proxied address. */
export class TcpProxy {
  private readonly server: Server;
  private readonly pairs = new Set<Pair>();
  private currentMode = ProxyMode.Pass;
  /** Where connections go; set once the target is known. */
  targetPort = 0;

  private constructor() {
    this.server = createServer((near) => this.accept(near));
  }

  static open(): Promise<TcpProxy> {
    const proxy = new TcpProxy();
    return new Promise((resolve) => {
      proxy.server.listen(0, '127.0.0.1', () => resolve(proxy));
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  get mode(): ProxyMode {
    return this.currentMode;
  }

  set mode(mode: ProxyMode) {
    this.currentMode = mode;
    if (mode === ProxyMode.Reset) this.resetAll();
    // What a silent connection held up is lost with it, as on a network that has healed.
    if (mode === ProxyMode.Pass) this.resetAll();
  }

  /** Resets the connections that are open now. */
  resetAll(): void {
    for (const pair of [...this.pairs]) {
      this.pairs.delete(pair);
      reset(pair.near);
      reset(pair.far);
    }
  }

  close(): void {
    this.server.close();
    this.resetAll();
  }

  private accept(near: Socket): void {
    if (this.currentMode === ProxyMode.Reset) {
      reset(near);
      return;
    }
    const far = connect(this.targetPort, '127.0.0.1');
    const pair = { near, far };
    this.pairs.add(pair);
    near.on('data', (chunk: Buffer) => {
      if (this.currentMode !== ProxyMode.Silent) far.write(chunk);
    });
    far.on('data', (chunk: Buffer) => this.passBack(near, chunk));
    this.joinEnds(pair, near, far);
    this.joinEnds(pair, far, near);
  }

  private passBack(near: Socket, chunk: Buffer): void {
    if (this.currentMode === ProxyMode.Silent || this.currentMode === ProxyMode.OneWay) return;
    if (this.currentMode !== ProxyMode.Slow) near.write(chunk);
    else setTimeout(() => near.writable && near.write(chunk), SLOW_MS);
  }

  /** An end or a reset of one side is passed on to the other. */
  private joinEnds(pair: Pair, side: Socket, other: Socket): void {
    side.on('end', () => {
      if (this.currentMode !== ProxyMode.Silent) setTimeout(() => other.end(), this.endDelayMs);
    });
    // A reset of one side shows as a reset at the other; 'close' follows.
    side.on('error', () => {
      if (this.currentMode !== ProxyMode.Silent) reset(other);
    });
    side.on('close', () => {
      // The other side hears nothing while the way is silent; it is reset with the pair later.
      if (this.currentMode === ProxyMode.Silent) return;
      this.pairs.delete(pair);
      if (side.errored) reset(other);
      else setTimeout(() => other.destroySoon(), this.endDelayMs);
    });
  }

  /** An end does not overtake the bytes before it. */
  private get endDelayMs(): number {
    return this.currentMode === ProxyMode.Slow ? SLOW_MS + 1 : 0;
  }
}

/**
 * Resets a connection. One that has been ended is only closed: Node.js 20 can't reset it while its end is on
 * the way, and then keeps the socket open for good.
 */
function reset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
