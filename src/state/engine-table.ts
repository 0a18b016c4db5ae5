/** What a router knows of each engine: where it is, what it serves and how loaded it is. */
import { CircuitBreaker } from './circuit-breaker.js';

/** What the machine list says of an engine. */
export interface EngineMachine {
  readonly engineId: string;
  /** `HOST:PORT` of its HTTP interface. */
  readonly address: string;
  readonly zone: string;
  readonly site: string;
  readonly leaving: boolean;
}

/** What an engine serves: its cache is of use only for the same. */
export interface ServedModel {
  readonly model: string;
  readonly weightsDigest: string;
  readonly adapterDigest: string;
}

/** What the engine says of itself. */
export interface EngineReport extends ServedModel {
  readonly engineId: string;
  /** Grows with each start of the engine; all kept cache of an earlier one is gone. */
  readonly incarnation: number;
  readonly leaving: boolean;
  readonly load: EngineLoad;
  /** Wall clock time at which the owner of the engine's feed read it, in milliseconds. */
  readonly observedAtMs: number;
}

/** Load of an engine, as of its last report. */
export interface EngineLoad {
  /** Prompt tokens accepted but not yet computed. */
  readonly waitingTokens: number;
  /** Requests waiting and running. */
  readonly requests: number;
  /** Requests that may run at once. */
  readonly maximumRequests: number;
  /** Prompt tokens computed a second. */
  readonly prefillTokensPerSecond: number;
}

const MS_PER_SECOND = 1_000;
/** Wait reckoned for each request over what the engine runs at once. */
const QUEUED_REQUEST_MS = 60;
/** Wait reckoned for each request that shares the batch. */
const BATCHED_REQUEST_MS = 0.6;

/** An engine as the router sees it. */
export class EngineRecord {
  readonly breaker = new CircuitBreaker();
  report: EngineReport | undefined;
  /** Milliseconds to compute one prompt token. */
  tokenMs = 1;
  /** Expected wait before a new prompt is computed, in milliseconds. */
  waitMs = 0;

  constructor(public machine: EngineMachine) {}

  /** Takes over a report and reckons from it what the choice reads for every request. */
  setReport(report: EngineReport): void {
    this.report = report;
    this.setLoad(report.load);
  }

  /** Takes over a load alone, as an answer of the engine brought it. */
  setLoad(load: EngineLoad): void {
    const { waitingTokens, requests, maximumRequests, prefillTokensPerSecond } = load;
    this.tokenMs = MS_PER_SECOND / Math.max(1, prefillTokensPerSecond);
    const overflow = Math.max(0, requests - maximumRequests);
    this.waitMs =
      waitingTokens * this.tokenMs + overflow * QUEUED_REQUEST_MS + requests * BATCHED_REQUEST_MS;
  }

  /** Takes over what changes of a load; speed and size stay as last reported. */
  mergeLoad(waitingTokens: number, requests: number): void {
    if (this.report) this.setLoad({ ...this.report.load, waitingTokens, requests });
  }

  /** Counts prompt tokens this router sent, which the next report will contain. */
  addUnreported(tokens: number): void {
    this.waitMs += tokens * this.tokenMs;
  }

  /** Whether it serves exactly this. */
  serves(served: ServedModel): boolean {
    const { report } = this;
    if (!report || report.model !== served.model) return false;
    if (report.weightsDigest !== served.weightsDigest) return false;
    return report.adapterDigest === served.adapterDigest;
  }

  /** Whether new work may go to the engine. */
  takesNewWork(nowMs: number): boolean {
    if (this.machine.leaving || this.report === undefined || this.report.leaving) return false;
    return this.breaker.mayPass(nowMs);
  }
}

/** Engines that serve the same in one zone. */
export interface EngineGroup {
  readonly site: string;
  readonly zone: string;
  readonly engines: EngineRecord[];
}

/** The engines of the machine list, with their last reports. */
export class EngineTable {
  private readonly records = new Map<string, EngineRecord>();
  /** Reports that came before the machine list named the engine. */
  private readonly early = new Map<string, EngineReport>();
  /** Engines by what they serve; rebuilt when that or a place changes. */
  private groups: Map<string, EngineGroup[]> | undefined;

  /** Takes over the machine list; engines no longer on it are forgotten. */
  replaceMachines(machines: readonly EngineMachine[]): void {
    const listed = new Set(machines.map((machine) => machine.engineId));
    for (const engineId of [...this.records.keys()]) {
      if (!listed.has(engineId)) this.records.delete(engineId);
    }
    for (const machine of machines) this.putMachine(machine);
    this.groups = undefined;
  }

  /**
   * Takes a report. One older than the present one is late and dropped (answers false).
   * A new incarnation closes the breaker: the failures belonged to the one before.
   */
  putReport(report: EngineReport): boolean {
    const present = this.reportOf(report.engineId);
    if (present && !isNewer(report, present)) return false;
    const record = this.records.get(report.engineId);
    if (!record) {
      this.early.set(report.engineId, report);
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

  /** The last report, also of an engine that the machine list does not name yet. */
  reportOf(engineId: string): EngineReport | undefined {
    return this.records.get(engineId)?.report ?? this.early.get(engineId);
  }

  all(): IterableIterator<EngineRecord> {
    return this.records.values();
  }

  get size(): number {
    return this.records.size;
  }

  /** Engines that serve exactly this, a group for each zone. */
  serving(served: ServedModel): readonly EngineGroup[] {
    this.groups ??= this.group();
    return this.groups.get(groupKeyOf(served)) ?? NO_ENGINES;
  }

  private putMachine(machine: EngineMachine): void {
    const present = this.records.get(machine.engineId);
    if (present) {
      present.machine = machine;
      return;
    }
    const record = new EngineRecord(machine);
    const early = this.early.get(machine.engineId);
    if (early) record.setReport(early);
    this.early.delete(machine.engineId);
    this.records.set(machine.engineId, record);
  }

  private group(): Map<string, EngineGroup[]> {
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
