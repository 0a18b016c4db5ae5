/** Channels to other routers, which are opened on demand, and to the connected agents. */
import type { Logger } from '../../runtime/logger.js';
import type { FrameConnection, FrameTransport } from '../../transport/frame-transport.js';
import { type Hello, NodeRole } from '../../protocol/peer/generated/peer_pb.js';
import {
  type NodeIntroduction,
  type PeerBody,
  PeerChannel,
  type PeerChannelEvents,
} from '../../protocol/peer/peer-channel.js';

/** Maximum number of messages queued per peer while its channel opens. */
const MAXIMUM_QUEUED_MESSAGES = 256;

/** Address lookup for group members. */
export interface PeerDirectory {
  /** Returns the peer address of a member, or undefined if it is unknown. */
  addressOf(nodeId: string): string | undefined;
}

/** Events of the pool, for its router. */
export interface PeerPoolEvents {
  onOpen(channel: PeerChannel, hello: Hello): void;
  onMessage(channel: PeerChannel, body: PeerBody): void;
  onClose(channel: PeerChannel): void;
}

/** The channels of one router. */
export class PeerPool implements PeerChannelEvents {
  private readonly routers = new Map<string, PeerChannel>();
  private readonly agents = new Set<PeerChannel>();
  private readonly pending = new Map<string, PeerBody[]>();
  private readonly channels = new Set<PeerChannel>();
  private stopped = false;

  constructor(
    private readonly introduction: NodeIntroduction,
    private readonly transport: FrameTransport,
    private readonly directory: PeerDirectory,
    private readonly events: PeerPoolEvents,
    private readonly logger: Logger,
  ) {}

  /** Creates a channel on a connection. */
  accept(connection: FrameConnection): void {
    this.channels.add(new PeerChannel(connection, this.introduction, this));
  }

  /** Channels of the connected agents. */
  agentChannels(): Iterable<PeerChannel> {
    return this.agents;
  }

  /** Sends a message to a router and opens a channel if needed. It is dropped if that fails. */
  send(nodeId: string, body: PeerBody): void {
    const channel = this.routers.get(nodeId);
    if (channel?.isOpen) {
      channel.send(body);
      return;
    }
    const queue = this.pending.get(nodeId);
    if (!queue) {
      this.pending.set(nodeId, [body]);
      void this.connect(nodeId);
    } else if (queue.length < MAXIMUM_QUEUED_MESSAGES) {
      queue.push(body);
    }
  }

  /** Closes the channel to a router that was declared dead. */
  disconnect(nodeId: string): void {
    this.routers.get(nodeId)?.destroy();
  }

  /** Closes all channels after queued messages were sent. */
  close(): void {
    this.stopped = true;
    for (const channel of this.channels) channel.close();
  }

  onOpen(channel: PeerChannel, hello: Hello): void {
    if (hello.role === NodeRole.AGENT) this.agents.add(channel);
    else this.registerRouter(channel, hello.nodeId);
    this.events.onOpen(channel, hello);
  }

  onMessage(channel: PeerChannel, body: PeerBody): void {
    this.events.onMessage(channel, body);
  }

  onClose(channel: PeerChannel): void {
    this.channels.delete(channel);
    this.agents.delete(channel);
    if (this.routers.get(channel.peerId) === channel) this.routers.delete(channel.peerId);
    this.events.onClose(channel);
  }

  private registerRouter(channel: PeerChannel, nodeId: string): void {
    // If both sides connect at the same time, either channel works. The newer one must replace the
    // older, whose peer may have restarted.
    this.routers.set(nodeId, channel);
    const queue = this.pending.get(nodeId) ?? [];
    this.pending.delete(nodeId);
    for (const body of queue) channel.send(body);
  }

  private async connect(nodeId: string): Promise<void> {
    const address = this.directory.addressOf(nodeId);
    if (address === undefined || this.stopped) {
      this.pending.delete(nodeId);
      return;
    }
    try {
      const connection = await this.transport.connect(address);
      if (this.stopped) connection.destroy();
      else this.accept(connection);
      connection.onClose(() => this.pending.delete(nodeId));
    } catch {
      this.pending.delete(nodeId);
      this.logger.debug('peer_unreachable', { peer: nodeId, address });
    }
  }
}
