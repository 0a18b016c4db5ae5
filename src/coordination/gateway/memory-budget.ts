/** Connects the byte budget of one router to its requests, log and counters. */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import {
  type BodyShare,
  ByteBudget,
  type ByteBudgetSettings,
  type DroppedBytes,
} from '../../state/routing/byte-budget.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import { HeldResponse } from './held-response.js';
import { LoadSharingFeature } from './load-sharing-settings.js';
import { memorySettingsFor } from './memory-settings.js';
import type { Rejections } from './rejections.js';
import type { Reply, RouterResponse } from './reply.js';

/** What the budget uses of the router. */
export interface MemoryBudgetContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly statistics: GatewayStatistics;
  readonly rejections: Rejections;
}

/** Creates the budget of a router; undefined if it is switched off. */
export function createMemoryBudget(
  { disabledFeatures, memory }: GatewaySettings,
  context: MemoryBudgetContext,
): MemoryBudget | undefined {
  if (disabledFeatures?.has(LoadSharingFeature.MemoryBudget)) return undefined;
  return new MemoryBudget(memory ?? memorySettingsFor(), context);
}

/** The bytes that one router holds for callers and engines. */
export class MemoryBudget {
  private readonly bytes: ByteBudget;

  constructor(
    settings: ByteBudgetSettings,
    private readonly context: MemoryBudgetContext,
  ) {
    this.bytes = new ByteBudget(settings);
  }

  get heldBytes(): number {
    return this.bytes.heldBytes;
  }

  get heldBodyBytes(): number {
    return this.bytes.heldBodyBytes;
  }

  get totalBytes(): number {
    return this.bytes.settings.totalBytes;
  }

  /** Counts what is held for the caller of a request until its connection takes it or closes. */
  openResponse(requestId: string, reply: Reply): HeldResponse {
    const { clock } = this.context;
    return new HeldResponse(reply, clock, (drop) =>
      this.bytes.openResponse(clock.now(), (dropped) => {
        this.noteDrop(requestId, dropped);
        drop();
      }),
    );
  }

  /**
   * Counts a request body until an engine has taken it.
   *
   * @param drop called if the body is dropped for others while it is being read
   */
  openBody(requestId: string, drop: (rejection: RouterResponse) => void): BodyShare {
    return this.bytes.openBody(this.context.clock.now(), ({ bytes, stalledMs }) =>
      drop(this.refuseBody(requestId, bytes, stalledMs)),
    );
  }

  /** Counts more memory of a body that is being read. Returns false if there is no room for it. */
  growBody(share: BodyShare, bytes: number): boolean {
    return share.grow(bytes, this.context.clock.now());
  }

  /** More of a body has arrived, which so does not stand still. */
  noteProgress(share: BodyShare): void {
    share.noteProgress(this.context.clock.now());
  }

  /** Whether there is, or can be made, room for a body of so many bytes. */
  admitsBody(bytes: number): boolean {
    return this.bytes.makeRoom(bytes, this.context.clock.now());
  }

  /** Whether a body may be sent to the engine. */
  hasRoomAt(engineId: string, bytes: number): boolean {
    return this.bytes.hasRoomAt(engineId, bytes);
  }

  /**
   * Refuses a request whose body does not fit, or no longer; nothing of it has run.
   *
   * @param stalledMs time without progress of a body that was dropped for others
   */
  refuseBody(requestId: string, bytes: number, stalledMs?: number): RouterResponse {
    const { logger, statistics, rejections } = this.context;
    statistics.bodiesOverBudget += 1;
    logger.warn('body_over_budget', {
      request: requestId,
      bytes,
      stalled_ms: stalledMs === undefined ? undefined : Math.round(stalledMs),
      held_bytes: this.heldBytes,
      held_body_bytes: this.heldBodyBytes,
      budget_bytes: this.totalBytes,
    });
    const reason = RejectionReason.MemoryFull;
    return rejections.responseTo({ reason, service: '', priority: 0 });
  }

  private noteDrop(requestId: string, { bytes, stalledMs }: DroppedBytes): void {
    const { logger, statistics } = this.context;
    statistics.slowReadersDropped += 1;
    logger.warn('slow_reader_dropped', {
      request: requestId,
      bytes,
      stalled_ms: Math.round(stalledMs),
      held_bytes: this.heldBytes,
      budget_bytes: this.totalBytes,
    });
  }
}
