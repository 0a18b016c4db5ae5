/** Channels between this router and all others, opened when first needed and kept. */
import type { Logger } from '../../runtime/logger.js';
import type { FrameConnection, FrameTransport } from '../../transport/frame-transport.js';
import { type Hello, NodeRole } from '../../protocol/peer/generated/peer_pb.js';
import {
  type NodeIntroduction,
  type PeerBody,
  PeerChannel,
  type PeerChannelEvents,
} from '../../protocol/peer/peer-channel.js';

/** Messages kept for a peer while its channel opens. */
const MAXIMUM_QUEUED = 256;

/** What the pool needs to know of the group. */
export interface PeerDirectory {
  /** Peer address of a member; undefined where it is not known. */
  addressOf(nodeId: string): string | undefined;
}

/** What the pool reports upwards. */
export interface PeerPoolEvents {
  onOpen(channel: PeerChannel, hello: Hello): void;
  onMessage(channel: PeerChannel, body: PeerBody): void;
  onClose(channel: PeerChannel): void;
}

/** All channels of one router. */
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

  /** Takes over a connection that another node opened. */
  accept(connection: FrameConnection): void {
    this.channels.add(new PeerChannel(connection, this.introduction, this));
  }

  /** Agents connected now. */
  agentChannels(): Iterable<PeerChannel> {
    return this.agents;
  }

  /** Sends to a router, opening a channel where there is none. Lost where that fails. */
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
    } else if (queue.length < MAXIMUM_QUEUED) {
      queue.push(body);
    }
  }

  /** Ends the channel to a router that the group holds for dead. */
  drop(nodeId: string): void {
    this.routers.get(nodeId)?.destroy();
  }

  /** Ends all channels after what is queued was sent. */
  close(): void {
    this.stopped = true;
    for (const channel of this.channels) channel.close();
  }

  onOpen(channel: PeerChannel, hello: Hello): void {
    if (hello.role === NodeRole.AGENT) this.agents.add(channel);
    else this.adopt(channel, hello.nodeId);
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

  private adopt(channel: PeerChannel, nodeId: string): void {
    // Both sides may have connected at once; either channel works, and the newer one replaces a
    // channel whose other end was restarted.
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
