/** Heartbeats of a group's members, received directly or reported by other routers. */
import type { Clock } from '../../runtime/clock.js';
import { PauseDetector } from '../../runtime/pause-detector.js';
import { type RandomSource, randomInteger } from '../../runtime/random.js';
import { type HeartbeatAge, Heartbeats } from '../../state/heartbeats.js';
import { memberKey } from '../../state/member-key.js';

/** Heartbeats as a report contains them: member keys, and their ages in the same order. */
export interface ReportedHeartbeats {
  readonly heardMembers: number[];
  readonly heardAgesMs: number[];
}

/**
 * Heartbeats in one report, about 100 bytes. A router of a group of 195 receives about 10 reports a
 * second and so learns of nearly every other router each second.
 */
const HEARTBEATS_PER_REPORT = 16;
/** Older heartbeats are not shared. */
const MAXIMUM_SHARED_AGE_MS = 1_500;

/** Heartbeats of the group as seen by one router. */
export class GroupHeartbeats {
  private readonly heartbeats = new Heartbeats();
  private readonly pauses: PauseDetector;
  private idsByKey = new Map<number, string>();
  private keysById = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {
    this.pauses = new PauseDetector(clock.now());
  }

  /** Records that this process is running; call several times a second. */
  recordRunning(): void {
    this.pauses.observe(this.clock.now());
  }

  /** Records a datagram of a member; ignored after a pause, when it may have been queued. */
  recordHeartbeat(nodeId: string): void {
    const nowMs = this.clock.now();
    if (this.pauses.hasRecovered(nowMs)) this.heartbeats.record(nodeId, nowMs);
  }

  /** Applies the heartbeats that another router reported. */
  merge({ heardMembers, heardAgesMs }: ReportedHeartbeats): void {
    const nowMs = this.clock.now();
    if (!this.pauses.hasRecovered(nowMs)) return;
    for (const [index, key] of heardMembers.entries()) {
      const nodeId = this.idsByKey.get(key);
      const ageMs = heardAgesMs[index];
      if (nodeId !== undefined && ageMs !== undefined) this.heartbeats.record(nodeId, nowMs, ageMs);
    }
  }

  /** Returns a random sample of the recent heartbeats. */
  sample(): ReportedHeartbeats {
    const recent = this.heartbeats.within(MAXIMUM_SHARED_AGE_MS, this.clock.now());
    const count = Math.min(HEARTBEATS_PER_REPORT, recent.length);
    const heardMembers: number[] = [];
    const heardAgesMs: number[] = [];
    for (let index = 0; index < count; index += 1) {
      // Partial Fisher-Yates shuffle: entries before the index are already picked.
      const picked = index + randomInteger(this.random, recent.length - index);
      const { nodeId, ageMs } = recent[picked] as HeartbeatAge;
      recent[picked] = recent[index] as HeartbeatAge;
      heardMembers.push(this.keyOf(nodeId));
      heardAgesMs.push(Math.ceil(ageMs));
    }
    return { heardMembers, heardAgesMs };
  }

  /** Milliseconds since the last direct or reported heartbeat of a member; Infinity if none. */
  heartbeatAgeMs(nodeId: string): number {
    return this.heartbeats.heartbeatAgeMs(nodeId, this.clock.now());
  }

  /** Sets the known members and forgets all others. */
  retain(nodeIds: readonly string[]): void {
    this.heartbeats.retain(new Set(nodeIds));
    const keysById = new Map(nodeIds.map((nodeId) => [nodeId, this.keyOf(nodeId)]));
    this.keysById = keysById;
    this.idsByKey = new Map([...keysById].map(([nodeId, key]) => [key, nodeId]));
  }

  private keyOf(nodeId: string): number {
    return this.keysById.get(nodeId) ?? memberKey(nodeId);
  }
}
