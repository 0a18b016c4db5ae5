/**
 * Typed messages over one frame connection between two nodes.
 * Each side first sends Hello; a mismatch of the protocol versions ends the connection.
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

/** Version of the internal protocol. Increased with every incompatible change. */
export const PEER_PROTOCOL_VERSION = 1;

/** The body of a message: one case of the union. */
export type PeerBody = Exclude<PeerMessage['body'], { case: undefined }>;

/** Identity that a node sends in its Hello. */
export interface NodeIntroduction {
  readonly nodeId: string;
  readonly role: NodeRole;
  readonly zone: string;
}

/** Callbacks of a channel. */
export interface PeerChannelEvents {
  /** The peer's Hello was received; called before any `onMessage`. */
  onOpen(channel: PeerChannel, hello: Hello): void;
  onMessage(channel: PeerChannel, body: PeerBody): void;
  /** The connection ended; called once. */
  onClose(channel: PeerChannel, reason: ChannelEnd): void;
}

/** Why a channel ended. */
export type ChannelEnd = 'closed' | 'version-mismatch' | 'malformed';

/** State of a channel. Messages are received only when `Open`. */
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
    connection.onClose(() => this.handleClose());
    this.transmit({
      case: 'hello',
      value: create(HelloSchema, { protocolVersion: PEER_PROTOCOL_VERSION, ...introduction }),
    });
  }

  get isOpen(): boolean {
    return this.state === ChannelState.Open;
  }

  /** Identifier of the peer; empty before its Hello. */
  get peerId(): string {
    return this.peer?.nodeId ?? '';
  }

  /** Sends a message. Returns false if the send buffer is full and the caller should pause. */
  send(body: PeerBody): boolean {
    if (this.state === ChannelState.Closed) return true;
    return this.transmit(body);
  }

  /** Closes the connection after all queued messages were sent. */
  close(): void {
    this.connection.close();
  }

  /** Closes the connection without sending queued messages. */
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

  private handleClose(): void {
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
