/**
 * Attributes broken requests to engine crashes. A broken connection alone does not prove a crash,
 * since engines abort responses and networks reset connections. An engine counts as crashed if it
 * also refuses new connections or restarts; each request it was running may then be the cause.
 * Pure.
 */
import { isLaterIncarnation, parseIncarnation } from './engine-incarnation.js';

/** Action required after the connection of a running request broke. */
export enum BrokenRequestAction {
  /** It is unknown whether the engine crashed; it must be checked. */
  NeedsCheck = 'needs-check',
  /** A check is already in progress. */
  AwaitsCheck = 'awaits-check',
  /** The engine crashed. */
  Crashed = 'crashed',
  /** The engine crashed before the request was sent, so another incarnation ran the request. */
  Unrelated = 'unrelated',
}

/** A request whose connection broke; times in Unix milliseconds unless stated otherwise. */
export interface BrokenRequest {
  readonly fingerprint: string;
  /** Monotonic time at which its connection broke, in milliseconds. */
  readonly brokenAtMs: number;
  /** Fingerprints of its shared prompt parts if the engine was at most beginning to respond. */
  readonly startingParts: readonly string[];
  readonly sentMs: number;
  readonly brokenMs: number;
}

/** Maximum crashed incarnations remembered; they leave the engine list within seconds. */
const MAXIMUM_CRASHED_INCARNATIONS = 1_024;
/** Maximum engines with unexplained broken requests. */
const MAXIMUM_UNEXPLAINED_ENGINES = 256;
/** A broken request is attributed to a restart that follows within this time. */
const RESTART_DETECTION_WINDOW_MS = 5_000;
/** An entry that lapses within this time shows that the engine crashed: some heartbeats, and an outage. */
const LAPSE_DETECTION_WINDOW_MS = 10_000;
/**
 * Connections to a crashed process break one after the other within this time, also those that the
 * system accepted after the crash. Longer than the checks of the engine take.
 */
const SAME_CRASH_GAP_MS = 800;

/** Tracks broken requests by engine until it is known whether the engine crashed. */
export class EngineCrashes {
  private readonly awaitingCheck = new Map<string, BrokenRequest[]>();
  /**
   * Broken requests at engines that still accepted connections; a later restart may explain them.
   */
  private readonly unexplained = new Map<string, BrokenRequest[]>();
  /** Addresses of the engines in `unexplained` that refused connections as all engines did. */
  private readonly refusedAddresses = new Map<string, string>();
  /** Latest incarnation in `unexplained`, by the engine's name; may be outdated. */
  private readonly unexplainedByName = new Map<string, string>();
  /** Crashed incarnations, with the start time of the next incarnation if known. */
  private readonly crashed = new Map<string, number | undefined>();

  /** Whether this incarnation is known to have crashed. */
  isCrashed(engineId: string): boolean {
    return this.crashed.has(engineId);
  }

  /** Records that the connection of a running request broke. */
  recordBrokenRequest(engineId: string, broken: BrokenRequest): BrokenRequestAction {
    if (this.crashed.has(engineId)) {
      const nextStartedAtMs = this.crashed.get(engineId) ?? Infinity;
      return broken.sentMs < nextStartedAtMs
        ? BrokenRequestAction.Crashed
        : BrokenRequestAction.Unrelated;
    }
    const awaitingCheck = this.awaitingCheck.get(engineId);
    if (awaitingCheck) {
      awaitingCheck.push(broken);
      return BrokenRequestAction.AwaitsCheck;
    }
    this.awaitingCheck.set(engineId, [broken]);
    return BrokenRequestAction.NeedsCheck;
  }

  /** Records that the engine refused a connection; returns the requests its crash interrupted. */
  noteCrashed(engineId: string): readonly BrokenRequest[] {
    this.recordCrashed(engineId, undefined);
    return this.removeBrokenRequests(this.awaitingCheck, engineId);
  }

  /**
   * Records that the engine accepted a connection or that the check was inconclusive.
   *
   * @param refusedAddress its address if that refused connections, but no other engine accepted any
   */
  noteNotCrashed(engineId: string, refusedAddress?: string): void {
    const broken = this.removeBrokenRequests(this.awaitingCheck, engineId);
    if (broken.length === 0) return;
    const earlier = this.removeBrokenRequests(this.unexplained, engineId);
    this.unexplained.set(engineId, requestsOfLastCrash([...earlier, ...broken]));
    this.nameUnexplained(engineId);
    if (refusedAddress !== undefined) this.noteRefused(engineId, refusedAddress);
    if (this.unexplained.size <= MAXIMUM_UNEXPLAINED_ENGINES) return;
    const [oldest] = this.unexplained.keys();
    if (oldest !== undefined) this.unexplained.delete(oldest);
  }

  /** Drops the broken requests of an engine that was shutting down. */
  forgetBrokenRequests(engineId: string): void {
    this.awaitingCheck.delete(engineId);
    this.unexplained.delete(engineId);
    this.refusedAddresses.delete(engineId);
  }

  /** Engines other than the named one that refused connections at the address, as all engines did. */
  refusedAt(address: string, name: string): string[] {
    return [...this.refusedAddresses]
      .filter(([id, refused]) => refused === address && parseIncarnation(id).name !== name)
      .map(([id]) => id);
  }

  /**
   * Records that an engine is gone. Returns the requests that its crash interrupted; none if it did not
   * refuse connections before, or if that crash was already recorded.
   *
   * @param nowMs Unix milliseconds
   */
  recordGone(engineId: string, nowMs: number): readonly BrokenRequest[] {
    if (!this.refusedAddresses.delete(engineId)) return [];
    const broken = this.removeBrokenRequests(this.unexplained, engineId);
    if (this.crashed.has(engineId)) return [];
    this.recordCrashed(engineId, undefined);
    return requestsOfLastCrash(
      broken.filter(({ brokenMs }) => brokenMs > nowMs - LAPSE_DETECTION_WINDOW_MS),
    );
  }

  /**
   * Returns the identifier of an earlier incarnation of the engine with unexplained broken requests;
   * undefined if there is none.
   */
  unexplainedIncarnation(name: string, startedAtMs: number | undefined): string | undefined {
    const engineId = this.unexplainedByName.get(name);
    if (engineId === undefined || !this.unexplained.has(engineId)) return undefined;
    const earlier = parseIncarnation(engineId);
    return isLaterIncarnation(startedAtMs, earlier.startedAtMs) ? engineId : undefined;
  }

  /**
   * Records that the engine restarted. Returns the requests that the crash of the previous
   * incarnation interrupted, or undefined if that crash was already recorded, so that it is counted
   * once.
   *
   * @param startedAtMs start time of the new incarnation, Unix milliseconds
   */
  recordRestart(engineId: string, startedAtMs: number): readonly BrokenRequest[] | undefined {
    const wasCrashed = this.crashed.has(engineId);
    const earlier = this.removeBrokenRequests(this.unexplained, engineId);
    const broken = [...earlier, ...this.removeBrokenRequests(this.awaitingCheck, engineId)];
    this.recordCrashed(engineId, startedAtMs);
    if (wasCrashed) return undefined;
    const explained = broken.filter(
      ({ sentMs, brokenMs }) =>
        sentMs < startedAtMs && brokenMs > startedAtMs - RESTART_DETECTION_WINDOW_MS,
    );
    return requestsOfLastCrash(explained);
  }

  private recordCrashed(engineId: string, nextStartedAtMs: number | undefined): void {
    if (this.crashed.size >= MAXIMUM_CRASHED_INCARNATIONS) this.crashed.clear();
    this.crashed.set(engineId, nextStartedAtMs);
  }

  private noteRefused(engineId: string, address: string): void {
    if (this.refusedAddresses.size >= MAXIMUM_UNEXPLAINED_ENGINES) this.refusedAddresses.clear();
    this.refusedAddresses.set(engineId, address);
  }

  private nameUnexplained(engineId: string): void {
    if (this.unexplainedByName.size >= MAXIMUM_UNEXPLAINED_ENGINES) this.unexplainedByName.clear();
    this.unexplainedByName.set(parseIncarnation(engineId).name, engineId);
  }

  private removeBrokenRequests(
    brokenByEngine: Map<string, BrokenRequest[]>,
    engineId: string,
  ): BrokenRequest[] {
    const broken = brokenByEngine.get(engineId) ?? [];
    brokenByEngine.delete(engineId);
    return broken;
  }
}

/** The requests whose connections broke with the last one, or shortly before another one of these. */
function requestsOfLastCrash(broken: readonly BrokenRequest[]): BrokenRequest[] {
  const latestFirst = [...broken].sort((left, right) => right.brokenMs - left.brokenMs);
  const lastMs = latestFirst[0]?.brokenMs ?? 0;
  const ofLastCrash: BrokenRequest[] = [];
  let nextMs = lastMs;
  for (const request of latestFirst) {
    const { brokenMs } = request;
    if (nextMs - brokenMs >= SAME_CRASH_GAP_MS) break;
    if (lastMs - brokenMs >= RESTART_DETECTION_WINDOW_MS) break;
    ofLastCrash.push(request);
    nextMs = brokenMs;
  }
  return ofLastCrash.reverse();
}
