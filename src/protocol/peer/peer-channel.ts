/**
 * Typed messages over one frame connection between two processes of the system.
 * The first message of each side is Hello; one that differs in version ends the connection.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { FrameConnection } from '../../transport/frame-transport.js';
import {
  type Hello,
  HelloSchema,
  type NodeRole,
  type PeerMessage,
  PeerMessageSchema,
} from './generated/peer_pb.js';

/** Version of the internal protocol. Raised with every change an older process can't skip. */
export const PEER_PROTOCOL_VERSION = 1;

/** The body of a message: one case of the union. */
export type PeerBody = Exclude<PeerMessage['body'], { case: undefined }>;

/** Who a node says it is. */
export interface NodeIntroduction {
  readonly nodeId: string;
  readonly role: NodeRole;
  readonly zone: string;
}

/** What a channel tells its user. */
export interface PeerChannelEvents {
  /** The peer introduced itself; comes before any message. */
  onOpen(channel: PeerChannel, hello: Hello): void;
  onMessage(channel: PeerChannel, body: PeerBody): void;
  /** The connection ended; comes once. */
  onClose(channel: PeerChannel, reason: ChannelEnd): void;
}

/** Why a channel ended. */
export type ChannelEnd = 'closed' | 'version-mismatch' | 'malformed';

/** State of a channel. Only `Open` carries messages. */
enum ChannelState {
  AwaitingHello = 'awaiting-hello',
  Open = 'open',
  Closed = 'closed',
}

/** One end of a connection between two nodes. */
export class PeerChannel {
  private state = ChannelState.AwaitingHello;
  private peer: Hello | undefined;
  private end: ChannelEnd = 'closed';

  constructor(
    private readonly connection: FrameConnection,
    introduction: NodeIntroduction,
    private readonly events: PeerChannelEvents,
  ) {
    connection.onFrame((frame) => this.receive(frame));
    connection.onClose(() => this.closed());
    this.transmit({
      case: 'hello',
      value: create(HelloSchema, { protocolVersion: PEER_PROTOCOL_VERSION, ...introduction }),
    });
  }

  get isOpen(): boolean {
    return this.state === ChannelState.Open;
  }

  /** Identifier of the node at the other end; empty before its Hello. */
  get peerId(): string {
    return this.peer?.nodeId ?? '';
  }

  /** Sends a message. False: the peer reads slowly; hold back what can wait. */
  send(body: PeerBody): boolean {
    if (this.state === ChannelState.Closed) return true;
    return this.transmit(body);
  }

  /** Sends what is queued, then ends the connection. */
  close(): void {
    this.connection.close();
  }

  /** Ends the connection at once. */
  destroy(): void {
    this.connection.destroy();
  }

  private transmit(body: PeerBody): boolean {
    const message = create(PeerMessageSchema, { body });
    return this.connection.send(toBinary(PeerMessageSchema, message));
  }

  private receive(frame: Uint8Array): void {
    if (this.state === ChannelState.Closed) return;
    const body = decode(frame);
    if (!body) {
      this.abort('malformed');
    } else if (this.state === ChannelState.AwaitingHello) {
      this.receiveHello(body);
    } else {
      this.events.onMessage(this, body);
    }
  }

  private receiveHello(body: PeerBody): void {
    if (body.case !== 'hello') {
      this.abort('malformed');
    } else if (body.value.protocolVersion !== PEER_PROTOCOL_VERSION) {
      this.abort('version-mismatch');
    } else {
      this.peer = body.value;
      this.state = ChannelState.Open;
      this.events.onOpen(this, body.value);
    }
  }

  private abort(end: ChannelEnd): void {
    this.end = end;
    this.connection.destroy();
  }

  private closed(): void {
    if (this.state === ChannelState.Closed) return;
    this.state = ChannelState.Closed;
    this.events.onClose(this, this.end);
  }
}

function decode(frame: Uint8Array): PeerBody | undefined {
  try {
    const { body } = fromBinary(PeerMessageSchema, frame);
    return body.case === undefined ? undefined : body;
  } catch {
    return undefined;
  }
}
