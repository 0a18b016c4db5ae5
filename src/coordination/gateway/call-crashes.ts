/**
 * Links one request to the detection of engine crashes: its fingerprint, its disconnects and its
 * success.
 */
import type { ExchangeFailure } from '../../protocol/inference/port.js';
import { fingerprintOf } from '../../state/routing/request-fingerprint.js';
import type { CrashProtection } from './crash-protection.js';
import { isDisconnect } from './failed-send.js';
import type { Grant } from './request-admission.js';
import type { InboundRequest } from './reply.js';

/** Reports the disconnects and the success of one request to the crash protection. */
export class CallCrashes {
  private cachedFingerprint: string | undefined;

  constructor(
    private readonly request: InboundRequest,
    private readonly protection: CrashProtection,
    /** Returns the grant under which the request was admitted; undefined before. */
    private readonly grant: () => Grant | undefined,
  ) {}

  /** The fingerprint, if it has been computed yet. */
  get computedFingerprint(): string | undefined {
    return this.cachedFingerprint;
  }

  /** Whether the request is quarantined; needs no fingerprint while no request is suspected. */
  get isQuarantined(): boolean {
    const { guard } = this.protection;
    return guard.hasSuspects && guard.isQuarantined(this.fingerprint);
  }

  /** Whether this request has the given fingerprint. */
  matches(fingerprint: string): boolean {
    return this.fingerprint === fingerprint;
  }

  /**
   * Whether this request is suspected of having caused the disconnect. It is then not retried by
   * the router; the caller decides.
   */
  isSuspectedCause(failure: ExchangeFailure): boolean {
    return isDisconnect(failure) && this.protection.guard.leavesRetryToCaller(this.fingerprint);
  }

  /**
   * Records a failed send; a disconnect may mean that the engine crashed.
   *
   * @param ranMs time since the request was sent
   */
  noteFailure(engineId: string, failure: ExchangeFailure, ranMs: number): void {
    if (!isDisconnect(failure)) return;
    const grant = this.grant();
    this.protection.recordConnectionLoss(engineId, this.fingerprint, ranMs, {
      tenant: grant?.tenant?.name ?? '',
      route: grant?.route.name ?? '',
      path: this.request.path,
    });
  }

  /** Records a completed response, which clears the request of suspicion. */
  noteSuccess(): void {
    const { guard } = this.protection;
    if (guard.hasSuspects) guard.recordSuccess(this.fingerprint);
  }

  private get fingerprint(): string {
    this.cachedFingerprint ??= fingerprintOf({
      ...this.request,
      tenant: this.grant()?.tenant?.name,
    });
    return this.cachedFingerprint;
  }
}
