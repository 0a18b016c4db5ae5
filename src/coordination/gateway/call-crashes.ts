/** What one request has to do with crashes of engines: its fingerprint, its breaks, its good end. */
import type { ExchangeFailure } from '../../protocol/inference/port.js';
import { fingerprintOf } from '../../state/routing/request-fingerprint.js';
import type { CrashProtection } from './crash-protection.js';
import { isDisconnect } from './failed-send.js';
import type { Grant } from './request-admission.js';
import type { InboundRequest } from './reply.js';

/** The part of one admitted request. */
export class CallCrashes {
  private known: string | undefined;

  constructor(
    private readonly request: InboundRequest,
    private readonly protection: CrashProtection,
    /** The grant under which the request was admitted; undefined before. */
    private readonly grant: () => Grant | undefined,
  ) {}

  /** The fingerprint, where it was needed so far. */
  get knownFingerprint(): string | undefined {
    return this.known;
  }

  /** Whether no engine may be sent the request; costs nothing while no request is suspected. */
  get isQuarantined(): boolean {
    const { guard } = this.protection;
    return guard.isWatching && guard.isQuarantined(this.fingerprint);
  }

  /** Whether this request has the fingerprint. */
  matches(fingerprint: string): boolean {
    return this.fingerprint === fingerprint;
  }

  /** Whether a break looks like one more crash by this request: then its caller decides, not this router. */
  mayHaveCaused(failure: ExchangeFailure): boolean {
    return isDisconnect(failure) && this.protection.guard.isDoubtful(this.fingerprint);
  }

  /**
   * A send failed: where its connection broke, the engine may have crashed.
   *
   * @param ranMs time since the request was sent
   */
  noteFailure(engineId: string, failure: ExchangeFailure, ranMs: number): void {
    if (!isDisconnect(failure)) return;
    const grant = this.grant();
    this.protection.noteBreak(engineId, this.fingerprint, ranMs, {
      tenant: grant?.tenant?.name ?? '',
      route: grant?.route.name ?? '',
      path: this.request.path,
    });
  }

  /** A request that crashes engines never comes to a good end, so one proves that it does not. */
  noteGoodEnd(): void {
    const { guard } = this.protection;
    if (guard.isWatching) guard.noteGoodEnd(this.fingerprint);
  }

  private get fingerprint(): string {
    this.known ??= fingerprintOf({ ...this.request, tenant: this.grant()?.tenant?.name });
    return this.known;
  }
}
