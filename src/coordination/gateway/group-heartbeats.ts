/** What one router knows of when the members of its group were last heard, by itself and by others. */
import type { Clock } from '../../runtime/clock.js';
import { PauseDetector } from '../../runtime/pause-detector.js';
import { type RandomSource, randomInteger } from '../../runtime/random.js';
import { type HeartbeatAge, Heartbeats } from '../../state/heartbeats.js';
import { memberKey } from '../../state/member-key.js';

/** Heartbeats as a report carries them: keys of members, and the ages in the same order. */
export interface SharedHeartbeats {
  readonly heardMembers: number[];
  readonly heardAgesMs: number[];
}

/**
 * Ages in one report; some 100 bytes. A router of a group of 195 gets about 10 reports a second, so it
 * hears of nearly every other each second.
 */
const SHARED_IN_REPORT = 16;
/** Older heartbeats are of little use to others. */
const OLDEST_SHARED_MS = 1_500;

/** Heartbeats of one router's group. */
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

  /** Notes that this process runs; call several times a second. */
  noteRunning(): void {
    this.pauses.note(this.clock.now());
  }

  /** A datagram of the member was read. One that waited while this process stood still shows nothing. */
  noteHeard(nodeId: string): void {
    const nowMs = this.clock.now();
    if (this.pauses.isSettled(nowMs)) this.heartbeats.note(nodeId, nowMs);
  }

  /** Takes what another router shares. */
  take({ heardMembers, heardAgesMs }: SharedHeartbeats): void {
    const nowMs = this.clock.now();
    if (!this.pauses.isSettled(nowMs)) return;
    for (const [index, key] of heardMembers.entries()) {
      const nodeId = this.idsByKey.get(key);
      const ageMs = heardAgesMs[index];
      if (nodeId !== undefined && ageMs !== undefined) this.heartbeats.note(nodeId, nowMs, ageMs);
    }
  }

  /** A random few of those heard lately, to share. */
  share(): SharedHeartbeats {
    const recent = this.heartbeats.within(OLDEST_SHARED_MS, this.clock.now());
    const count = Math.min(SHARED_IN_REPORT, recent.length);
    const heardMembers: number[] = [];
    const heardAgesMs: number[] = [];
    for (let index = 0; index < count; index += 1) {
      // Those before the index are picked already.
      const picked = index + randomInteger(this.random, recent.length - index);
      const { nodeId, ageMs } = recent[picked] as HeartbeatAge;
      recent[picked] = recent[index] as HeartbeatAge;
      heardMembers.push(this.keyOf(nodeId));
      heardAgesMs.push(Math.ceil(ageMs));
    }
    return { heardMembers, heardAgesMs };
  }

  /** Milliseconds since a member was last heard by any router whose reports came; Infinity: never. */
  silenceMs(nodeId: string): number {
    return this.heartbeats.silenceMs(nodeId, this.clock.now());
  }

  /** Takes the members known now; the others are forgotten. */
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
