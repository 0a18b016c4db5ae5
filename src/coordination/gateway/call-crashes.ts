/**
 * Links one request to the detection of engine crashes: its fingerprint and those of its shared
 * prompt parts, its disconnects and its success.
 */
import type { ExchangeFailure } from '../../protocol/inference/port.js';
import { sharedPartsOf } from '../../state/routing/generation.js';
import { fingerprintOf, promptPartFingerprintOf } from '../../state/routing/request-fingerprint.js';
import { CrashSubject } from './crash-guard.js';
import type { CrashProtection, SharedPart } from './crash-protection.js';
import { isDisconnect } from './failed-send.js';
import type { Grant } from './request-admission.js';
import type { InboundRequest } from './reply.js';

/** Shared parts of one prompt that may be blamed for crashes; bounds the work for one request. */
const MAXIMUM_BLAMED_PARTS = 16;

/** How far a send had come when it failed. */
export interface FailedRun {
  /** Time since the request was sent, in milliseconds. */
  readonly ranMs: number;
  /** Whether the engine was at most beginning to write its response. */
  readonly isStarting: boolean;
}

/** Reports the disconnects and the success of one request to the crash protection. */
export class CallCrashes {
  private cachedFingerprint: string | undefined;
  private cachedParts: readonly SharedPart[] | undefined;
  /** Whether the current send is the trial of a request in provisional quarantine. */
  private isTrial = false;

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

  /**
   * What of the request is quarantined for good, if anything; needs no fingerprints while nothing is
   * suspected.
   */
  get quarantined(): CrashSubject | undefined {
    const { guard, partGuard } = this.protection;
    if (guard.hasSuspects && guard.isConfirmed(this.fingerprint)) return CrashSubject.Request;
    if (!partGuard.hasSuspects) return undefined;
    const isPartQuarantined = this.sharedParts.some(({ fingerprint }) =>
      partGuard.isQuarantined(fingerprint),
    );
    return isPartQuarantined ? CrashSubject.PromptPart : undefined;
  }

  /** Whether the request, or a part of its prompt, is quarantined for good or provisionally. */
  get isQuarantined(): boolean {
    const { guard } = this.protection;
    const isProvisional = guard.hasSuspects && guard.isQuarantined(this.fingerprint);
    return isProvisional || this.quarantined !== undefined;
  }

  /** Whether the request can't be sent by any router before a trial of it has ended. */
  get awaitsTrial(): boolean {
    const { guard } = this.protection;
    return guard.hasSuspects && guard.isTrialPausing(this.fingerprint);
  }

  /**
   * Whether the request may be sent now; called right before a send. One in provisional quarantine may
   * be sent as a trial only.
   */
  tryBeginSend(): boolean {
    const { guard } = this.protection;
    if (!guard.hasSuspects || !guard.isQuarantined(this.fingerprint)) return true;
    this.isTrial = guard.tryBeginTrial(this.fingerprint);
    return this.isTrial;
  }

  /** Records that a send reached no engine, or none that executed it. */
  noteNotRun(): void {
    if (this.isTrial) this.protection.guard.withdrawTrial(this.fingerprint);
    this.isTrial = false;
  }

  /** Whether the request was running at a crash and has not been completed since. */
  get isSuspected(): boolean {
    const { guard } = this.protection;
    return guard.hasSuspects && guard.crashedEngines(this.fingerprint).length > 0;
  }

  /** Whether the prompt contains the shared part with the given fingerprint. */
  hasPart(fingerprint: string): boolean {
    return this.sharedParts.some((part) => part.fingerprint === fingerprint);
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
    if (!isDisconnect(failure)) return false;
    const { guard, partGuard } = this.protection;
    if (guard.leavesRetryToCaller(this.fingerprint)) return true;
    return this.sharedParts.some(({ fingerprint }) => partGuard.leavesRetryToCaller(fingerprint));
  }

  /** Records a failed send; a disconnect may mean that the engine crashed. */
  noteFailure(engineId: string, failure: ExchangeFailure, run: FailedRun): void {
    if (!isDisconnect(failure)) return;
    const grant = this.grant();
    const { fingerprint } = this;
    const blamedParts = run.isStarting ? this.sharedParts : [];
    const startingParts = blamedParts.map((part) => part.fingerprint);
    const lost = { fingerprint, startingParts, ranMs: run.ranMs };
    const description = {
      tenant: grant?.tenant?.name ?? '',
      route: grant?.route.name ?? '',
      path: this.request.path,
    };
    this.protection.recordConnectionLoss(engineId, lost, description, blamedParts);
  }

  /** Records a completed response, which clears the request of suspicion. */
  noteSuccess(): void {
    const { guard } = this.protection;
    if (guard.hasSuspects) guard.recordSuccess(this.fingerprint);
  }

  /** Records a generated response that was completed, which clears the parts of its prompt. */
  notePartSuccess(): void {
    const { partGuard } = this.protection;
    if (!partGuard.hasSuspects) return;
    for (const { fingerprint } of this.sharedParts) partGuard.recordSuccess(fingerprint);
  }

  private get sharedParts(): readonly SharedPart[] {
    this.cachedParts ??= this.fingerprintParts();
    return this.cachedParts;
  }

  private fingerprintParts(): readonly SharedPart[] {
    const { generation } = this.request;
    if (!generation) return [];
    const tenant = this.grant()?.tenant;
    const isolatedTenant = tenant?.isIsolated ? tenant.name : undefined;
    return sharedPartsOf(generation)
      .slice(0, MAXIMUM_BLAMED_PARTS)
      .map(({ id }) => {
        const identity = { model: generation.model, isolatedTenant, partId: id };
        return { id, fingerprint: promptPartFingerprintOf(identity) };
      });
  }

  private get fingerprint(): string {
    this.cachedFingerprint ??= fingerprintOf({
      ...this.request,
      tenant: this.grant()?.tenant?.name,
    });
    return this.cachedFingerprint;
  }
}
