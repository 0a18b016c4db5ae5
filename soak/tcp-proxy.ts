/** A loopback TCP proxy that simulates network faults. */
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';

/** How the proxy handles connections. */
export enum ProxyMode {
  Pass = 'pass',
  /** Connections stay open and drop all bytes in both directions; new ones too. */
  Blackhole = 'silent',
  /** Requests are forwarded, responses are dropped. */
  OneWay = 'one-way',
  /** Responses are delayed. */
  Slow = 'slow',
  /** Open connections are reset, new ones immediately. */
  Reset = 'reset',
}

const SLOW_DELAY_MS = 250;

interface ConnectionPair {
  readonly client: Socket;
  readonly target: Socket;
}

/** A proxy for one target port. */
export class TcpProxy {
  private readonly server: Server;
  private readonly pairs = new Set<ConnectionPair>();
  private currentMode = ProxyMode.Pass;
  /** Where connections go; set once the target is known. */
  targetPort = 0;

  private constructor() {
    this.server = createServer((client) => this.accept(client));
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
    // Connections that lost bytes must not continue.
    if (mode === ProxyMode.Pass) this.resetAll();
  }

  /** Resets the connections that are open now. */
  resetAll(): void {
    for (const pair of [...this.pairs]) {
      this.pairs.delete(pair);
      reset(pair.client);
      reset(pair.target);
    }
  }

  close(): void {
    this.server.close();
    this.resetAll();
  }

  private accept(client: Socket): void {
    if (this.currentMode === ProxyMode.Reset) {
      reset(client);
      return;
    }
    const target = connect(this.targetPort, '127.0.0.1');
    const pair = { client, target };
    this.pairs.add(pair);
    client.on('data', (chunk: Buffer) => {
      if (this.currentMode !== ProxyMode.Blackhole) target.write(chunk);
    });
    target.on('data', (chunk: Buffer) => this.forwardResponse(client, chunk));
    this.propagateClose(pair, client, target);
    this.propagateClose(pair, target, client);
  }

  private forwardResponse(client: Socket, chunk: Buffer): void {
    if (this.currentMode === ProxyMode.Blackhole || this.currentMode === ProxyMode.OneWay) return;
    if (this.currentMode !== ProxyMode.Slow) client.write(chunk);
    else setTimeout(() => client.writable && client.write(chunk), SLOW_DELAY_MS);
  }

  /** Propagates the end or reset of one side to the other. */
  private propagateClose(pair: ConnectionPair, side: Socket, other: Socket): void {
    side.on('end', () => {
      if (this.currentMode !== ProxyMode.Blackhole)
        setTimeout(() => other.end(), this.closeDelayMs);
    });
    // 'close' follows 'error'.
    side.on('error', () => {
      if (this.currentMode !== ProxyMode.Blackhole) reset(other);
    });
    side.on('close', () => {
      // A blackhole hides the close; the pair is reset when the mode changes.
      if (this.currentMode === ProxyMode.Blackhole) return;
      this.pairs.delete(pair);
      if (side.errored) reset(other);
      else setTimeout(() => other.destroySoon(), this.closeDelayMs);
    });
  }

  /** Delays the end as long as the bytes before it. */
  private get closeDelayMs(): number {
    return this.currentMode === ProxyMode.Slow ? SLOW_DELAY_MS + 1 : 0;
  }
}

/**
 * Resets a connection, or destroys it if its writable side has ended: Node.js 20 never closes a
 * socket that is reset while its FIN is pending.
 */
function reset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
