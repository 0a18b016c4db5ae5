/** A channel to one router, which multiplexes calls and detects heartbeat timeouts. */
import { create } from '@bufbuild/protobuf';
import { type Clock, type Timer, repeat } from '../../runtime/clock.js';
import type { FrameConnection } from '../../transport/frame-transport.js';
import { PingSchema } from '../../protocol/peer/generated/peer_pb.js';
import {
  type NodeIntroduction,
  type PeerBody,
  PeerChannel,
} from '../../protocol/peer/peer-channel.js';

const PING_PERIOD_MS = 500;
/** A link is closed after this time without a message, even if its connection is open. */
const HEARTBEAT_TIMEOUT_MS = 2_500;

/** Receives the messages of one call. */
export interface LinkCallListener {
  onMessage(body: PeerBody): void;
  /** The link was lost; the outcome of the call is unknown. */
  onLost(): void;
}

/** Events of a link, for its owner. */
export interface RouterLinkEvents {
  onOpen(link: RouterLink): void;
  /** A message that belongs to no call. */
  onMessage(link: RouterLink, body: PeerBody): void;
  onClose(link: RouterLink): void;
}

/** A link to one router. */
export class RouterLink {
  readonly channel: PeerChannel;
  private readonly calls = new Map<number, LinkCallListener>();
  private readonly heartbeat: Timer;
  private nextCallNumber = 1;
  private lastReceivedMs: number;

  constructor(
    readonly address: string,
    connection: FrameConnection,
    introduction: NodeIntroduction,
    private readonly clock: Clock,
    private readonly events: RouterLinkEvents,
  ) {
    this.lastReceivedMs = clock.now();
    this.channel = new PeerChannel(connection, introduction, {
      onOpen: () => events.onOpen(this),
      onMessage: (_channel, body) => this.receive(body),
      onClose: () => this.handleClose(),
    });
    this.heartbeat = repeat(clock, PING_PERIOD_MS, () => this.checkHeartbeat());
  }

  get nodeId(): string {
    return this.channel.peerId;
  }

  /** Registers a call and returns the call number that its messages carry. */
  register(listener: LinkCallListener): number {
    const callNumber = this.nextCallNumber;
    this.nextCallNumber += 1;
    this.calls.set(callNumber, listener);
    return callNumber;
  }

  /** Removes a call; later messages for it are dropped. */
  unregister(callNumber: number): void {
    this.calls.delete(callNumber);
  }

  send(body: PeerBody): void {
    this.channel.send(body);
  }

  private receive(body: PeerBody): void {
    this.lastReceivedMs = this.clock.now();
    const callNumber = callNumberOf(body);
    if (callNumber === undefined) this.events.onMessage(this, body);
    else this.calls.get(callNumber)?.onMessage(body);
  }

  private checkHeartbeat(): void {
    if (this.clock.now() - this.lastReceivedMs > HEARTBEAT_TIMEOUT_MS) this.channel.destroy();
    else if (this.channel.isOpen) this.send({ case: 'ping', value: create(PingSchema) });
  }

  private handleClose(): void {
    this.heartbeat.cancel();
    const lost = [...this.calls.values()];
    this.calls.clear();
    this.events.onClose(this);
    for (const listener of lost) listener.onLost();
  }
}

function callNumberOf(body: PeerBody): number | undefined {
  switch (body.case) {
    case 'callRunning':
    case 'callChunk':
    case 'callFinished':
    case 'callFailed':
      return body.value.callNumber;
    default:
      return undefined;
  }
}
