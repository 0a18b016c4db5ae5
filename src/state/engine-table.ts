/** Last known state of each engine: its address, what it serves and its load. */
import { CircuitBreaker } from './circuit-breaker.js';

/** An engine's entry in the machine list. */
export interface EngineMachine {
  readonly engineId: string;
  /** `HOST:PORT` of its HTTP interface. */
  readonly address: string;
  readonly zone: string;
  readonly site: string;
  readonly leaving: boolean;
}

/** Model, weights and adapter that an engine serves. Its cache is valid only for the same three. */
export interface ServedModel {
  readonly model: string;
  readonly weightsDigest: string;
  readonly adapterDigest: string;
}

/** Status that an engine reported. */
export interface EngineReport extends ServedModel {
  readonly engineId: string;
  /** Increases with each start of the engine, which empties its cache. */
  readonly incarnation: number;
  readonly leaving: boolean;
  readonly load: EngineLoad;
  /** Wall-clock time at which the owner of the engine's feed received it, in milliseconds. */
  readonly observedAtMs: number;
}

/** Load of an engine, as of its last report. */
export interface EngineLoad {
  /** Accepted prompt tokens that are not computed yet. */
  readonly waitingTokens: number;
  /** Requests waiting and running. */
  readonly requests: number;
  /** Requests that may run at once. */
  readonly maximumRequests: number;
  /** Prompt tokens computed per second. */
  readonly prefillTokensPerSecond: number;
}

const MS_PER_SECOND = 1_000;
/** Estimated wait for each request beyond the engine's maximum. */
const QUEUED_REQUEST_WAIT_MS = 60;
/** Estimated wait for each request in the batch. */
const BATCHED_REQUEST_WAIT_MS = 0.6;

/** Last known state of one engine. */
export class EngineRecord {
  readonly breaker = new CircuitBreaker();
  report: EngineReport | undefined;
  /** Milliseconds to compute one prompt token. */
  tokenMs = 1;
  /** Expected wait before a new prompt is computed, in milliseconds. */
  waitMs = 0;

  constructor(public machine: EngineMachine) {}

  /** Applies a report and updates the estimates that are derived from its load. */
  setReport(report: EngineReport): void {
    this.report = report;
    this.setLoad(report.load);
  }

  /** Applies a load without a report, as received with a response of the engine. */
  setLoad(load: EngineLoad): void {
    const { waitingTokens, requests, maximumRequests, prefillTokensPerSecond } = load;
    this.tokenMs = MS_PER_SECOND / Math.max(1, prefillTokensPerSecond);
    const overflow = Math.max(0, requests - maximumRequests);
    this.waitMs =
      waitingTokens * this.tokenMs +
      overflow * QUEUED_REQUEST_WAIT_MS +
      requests * BATCHED_REQUEST_WAIT_MS;
  }

  /** Applies the variable part of a load; speed and capacity remain as last reported. */
  mergeLoad(waitingTokens: number, requests: number): void {
    if (this.report) this.setLoad({ ...this.report.load, waitingTokens, requests });
  }

  /** Adds prompt tokens sent by this router that the last report does not include. */
  addUnreportedTokens(tokens: number): void {
    this.waitMs += tokens * this.tokenMs;
  }

  serves(served: ServedModel): boolean {
    const { report } = this;
    if (!report || report.model !== served.model) return false;
    if (report.weightsDigest !== served.weightsDigest) return false;
    return report.adapterDigest === served.adapterDigest;
  }

  /** Whether new work may be sent to the engine. */
  acceptsNewWork(nowMs: number): boolean {
    if (this.machine.leaving || this.report === undefined || this.report.leaving) return false;
    return this.breaker.mayPass(nowMs);
  }
}

/** Engines in one zone that serve the same model, weights and adapter. */
export interface EngineGroup {
  readonly site: string;
  readonly zone: string;
  readonly engines: EngineRecord[];
}

/** All engines of the machine list, with their last reports. */
export class EngineTable {
  private readonly records = new Map<string, EngineRecord>();
  /** Reports of engines that are not on the machine list yet. */
  private readonly unlistedReports = new Map<string, EngineReport>();
  /** Engines by what they serve; undefined until rebuilt after a change. */
  private groups: Map<string, EngineGroup[]> | undefined;

  /** Applies a new machine list; removes engines that are no longer on it. */
  replaceMachines(machines: readonly EngineMachine[]): void {
    const listed = new Set(machines.map((machine) => machine.engineId));
    for (const engineId of [...this.records.keys()]) {
      if (!listed.has(engineId)) this.records.delete(engineId);
    }
    for (const machine of machines) this.putMachine(machine);
    this.groups = undefined;
  }

  /**
   * Applies a report; returns false, without applying it, if it is not newer than the last one. A
   * new incarnation closes the breaker, since the failures were those of the previous incarnation.
   */
  putReport(report: EngineReport): boolean {
    const present = this.reportOf(report.engineId);
    if (present && !isNewer(report, present)) return false;
    const record = this.records.get(report.engineId);
    if (!record) {
      this.unlistedReports.set(report.engineId, report);
      return true;
    }
    if (present && present.incarnation < report.incarnation) record.breaker.onSuccess();
    if (!present || groupKeyOf(present) !== groupKeyOf(report)) this.groups = undefined;
    record.setReport(report);
    return true;
  }

  get(engineId: string): EngineRecord | undefined {
    return this.records.get(engineId);
  }

  /** The last report of an engine, even if it is not on the machine list yet. */
  reportOf(engineId: string): EngineReport | undefined {
    return this.records.get(engineId)?.report ?? this.unlistedReports.get(engineId);
  }

  all(): IterableIterator<EngineRecord> {
    return this.records.values();
  }

  get size(): number {
    return this.records.size;
  }

  /** Engines that serve exactly the given model, weights and adapter, in groups by zone. */
  serving(served: ServedModel): readonly EngineGroup[] {
    this.groups ??= this.groupRecords();
    return this.groups.get(groupKeyOf(served)) ?? NO_ENGINES;
  }

  private putMachine(machine: EngineMachine): void {
    const present = this.records.get(machine.engineId);
    if (present) {
      present.machine = machine;
      return;
    }
    const record = new EngineRecord(machine);
    const report = this.unlistedReports.get(machine.engineId);
    if (report) record.setReport(report);
    this.unlistedReports.delete(machine.engineId);
    this.records.set(machine.engineId, record);
  }

  private groupRecords(): Map<string, EngineGroup[]> {
    const groups = new Map<string, EngineGroup[]>();
    for (const record of this.records.values()) {
      if (!record.report) continue;
      const key = groupKeyOf(record.report);
      const present = groups.get(key) ?? [];
      groups.set(key, present);
      addToGroup(present, record);
    }
    return groups;
  }
}

function addToGroup(groups: EngineGroup[], record: EngineRecord): void {
  const { site, zone } = record.machine;
  let group = groups.find((each) => each.site === site && each.zone === zone);
  if (!group) {
    group = { site, zone, engines: [] };
    groups.push(group);
  }
  group.engines.push(record);
}

function isNewer(report: EngineReport, present: EngineReport): boolean {
  if (report.incarnation !== present.incarnation) return report.incarnation > present.incarnation;
  return report.observedAtMs > present.observedAtMs;
}

const NO_ENGINES: readonly EngineGroup[] = [];

function groupKeyOf(served: ServedModel): string {
  return `${served.model}\u0000${served.weightsDigest}\u0000${served.adapterDigest}`;
}
