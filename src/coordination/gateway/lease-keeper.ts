/**
 * Acquires, renews and reads the coordinator lease in the store, driven by the lease's state
 * machine.
 */
import { z } from 'zod';
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { StorePosition } from '../../runtime/store-position.js';
import type {
  ObjectStorePort,
  StoredObject,
  WriteResult,
} from '../../protocol/object-store/port.js';
import { describeProtocolError, toProtocolError } from '../../protocol/errors.js';
import type { StoreEras } from '../../state/routing/store-eras.js';
import {
  type LeaseRecord,
  LeaseStep,
  type LeaseTime,
  type LeaseView,
  WeightLease,
} from '../../state/routing/weight-lease.js';

const LEASE_NAME = 'weights';

const leaseRecordSchema = z.object({
  holder: z.string(),
  life: z.string(),
  fencingToken: z.number().int(),
});

/** Pause after the first failed call; doubles with each further failure. */
const FIRST_PAUSE_MS = 100;
const MAXIMUM_PAUSE_MS = 1_600;

/** Maintains the lease for one router. */
export class LeaseKeeper {
  private pendingCall: Promise<void> | undefined;
  private failures = 0;
  private nextCallMs = -Infinity;
  private writeStartMs: number | undefined;

  constructor(
    private readonly kind: string,
    private readonly lease: WeightLease,
    private readonly eras: StoreEras,
    private readonly store: ObjectStorePort,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** The fencing token while load commands are allowed; check before each command. */
  get activeToken(): number | undefined {
    const mayAct = this.lease.next(this.time) === LeaseStep.Act;
    return mayAct ? this.lease.fencingToken : undefined;
  }

  /** Time since the last acknowledged write of this router began, in whole milliseconds. */
  get renewalAgeMs(): number | undefined {
    return this.writeStartMs === undefined ? undefined : this.millisecondsSince(this.writeStartMs);
  }

  /** Whether this router has not yet read the lease. */
  get isUnknown(): boolean {
    return this.lease.next(this.time) === LeaseStep.Read;
  }

  /** Position of the lease record if this router holds the lease; announced to other routers. */
  get heldPosition(): StorePosition | undefined {
    return this.lease.heldPosition;
  }

  /** Applies the position of the lease record that another holder has announced. */
  observePosition(position: StorePosition): void {
    this.lease.recordReportedWrite(position, this.clock.now());
  }

  /**
   * Makes the next due call, if any, or awaits the one in progress; resolves when it has succeeded or
   * failed.
   */
  async advance(): Promise<void> {
    if (this.clock.now() >= this.nextCallMs) this.pendingCall ??= this.makeCall();
    await this.pendingCall;
  }

  /**
   * Returns the fencing token after the renewal of a lease that this router holds and whose time to
   * act has passed; undefined if load commands are not allowed.
   */
  async renewedToken(): Promise<number | undefined> {
    if (this.lease.next(this.time) === LeaseStep.Renew) await this.advance();
    return this.activeToken;
  }

  private async makeCall(): Promise<void> {
    const step = this.lease.next(this.time);
    const startMs = this.clock.now();
    try {
      await this.call(step);
      this.failures = 0;
    } catch (cause) {
      this.noteFailure(cause, step, startMs);
    } finally {
      this.pendingCall = undefined;
    }
  }

  private get time(): LeaseTime {
    return { nowMs: this.clock.now(), elapsed: this.clock.elapsed() };
  }

  private millisecondsSince(startMs: number): number {
    return Math.round(this.clock.now() - startMs);
  }

  private noteFailure(cause: unknown, step: LeaseStep, startMs: number): void {
    this.lease.invalidate();
    this.failures += 1;
    const pauseMs = Math.min(MAXIMUM_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.failures - 1));
    this.nextCallMs = this.clock.now() + pauseMs;
    const reason = describeProtocolError(toProtocolError(cause, 'store'));
    this.logger.warn('lease_call_failed', {
      step,
      reason,
      took_ms: this.millisecondsSince(startMs),
      failures: this.failures,
      pause_ms: pauseMs,
    });
  }

  private async call(step: LeaseStep): Promise<void> {
    if (step === LeaseStep.Act || step === LeaseStep.Wait) return;
    const startedAt = this.time;
    if (step === LeaseStep.Read) {
      const { object, era } = await this.store.read(this.kind, LEASE_NAME);
      this.lease.observe(object && viewOf(object), era, this.clock.now());
      return;
    }
    const record = this.lease.recordFor(step);
    const { newest: eraBefore } = this.eras;
    const result = await this.write(step, record);
    const isSameEra = result.era === eraBefore && this.eras.newest === eraBefore;
    if (result.kind === 'written' && isSameEra) {
      this.lease.recordWrite({ record, position: result.object.position }, startedAt);
      this.writeStartMs = startedAt.nowMs;
      this.logWrite(step, record, result.era);
      return;
    }
    const present = result.kind === 'conflict' ? result.present : undefined;
    if (present) this.lease.observe(viewOf(present), result.era, this.clock.now());
    // Also after a write in another store era: its revision may belong to another holder's record.
    else this.lease.invalidate();
    this.logger.info('lease_lost', {
      step,
      present: present?.position.revision,
      era: result.era,
      era_before: eraBefore,
    });
  }

  /** Logs a takeover, and a write that was acknowledged too late to send commands under it. */
  private logWrite(step: LeaseStep, { fencingToken }: LeaseRecord, era: number): void {
    const fields = { token: fencingToken, step, era, took_ms: this.renewalAgeMs };
    if (step !== LeaseStep.Renew) this.logger.info('lease_taken', fields);
    if (this.activeToken === undefined) this.logger.warn('lease_write_late', fields);
  }

  private write(step: LeaseStep, record: LeaseRecord): Promise<WriteResult> {
    if (step === LeaseStep.Create) return this.store.create(this.kind, LEASE_NAME, record);
    return this.store.replace(this.kind, LEASE_NAME, record, this.lease.position);
  }
}

/** Treats a malformed record as another holder's, so that this router waits for it to expire. */
function viewOf(object: StoredObject): LeaseView {
  const parsed = leaseRecordSchema.safeParse(object.spec);
  const record = parsed.success ? parsed.data : { holder: '', life: '', fencingToken: 0 };
  return { record, position: object.position };
}
