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

/** What the engine says of itself. */
export interface EngineReport {
  readonly engineId: string;
  /** Grows with each start of the engine; all kept cache of an earlier one is gone. */
  readonly incarnation: number;
  readonly model: string;
  readonly weightsDigest: string;
  readonly adapterDigest: string;
  readonly leaving: boolean;
  readonly load: EngineLoad;
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

/** An engine as the router sees it. */
export interface EngineRecord {
  machine: EngineMachine;
  report: EngineReport | undefined;
  readonly breaker: CircuitBreaker;
  /** Prompt tokens this router sent since the last load report. */
  unreportedTokens: number;
}

/** The engines of the machine list, with their last reports. */
export class EngineTable {
  private readonly records = new Map<string, EngineRecord>();
  /** Reports that came before the machine list named the engine. */
  private readonly early = new Map<string, EngineReport>();

  /** Takes over the machine list; engines no longer on it are forgotten. */
  replaceMachines(machines: readonly EngineMachine[]): void {
    const listed = new Set(machines.map((machine) => machine.engineId));
    for (const engineId of [...this.records.keys()]) {
      if (!listed.has(engineId)) this.records.delete(engineId);
    }
    for (const machine of machines) this.putMachine(machine);
  }

  private putMachine(machine: EngineMachine): void {
    const present = this.records.get(machine.engineId);
    if (present) {
      present.machine = machine;
      return;
    }
    this.records.set(machine.engineId, {
      machine,
      report: this.early.get(machine.engineId),
      breaker: new CircuitBreaker(),
      unreportedTokens: 0,
    });
    this.early.delete(machine.engineId);
  }

  /**
   * Takes a report. One of an earlier incarnation is late and dropped (answers false).
   * A new incarnation closes the breaker: the failures belonged to the one before.
   */
  putReport(report: EngineReport): boolean {
    const record = this.records.get(report.engineId);
    if (!record) {
      this.early.set(report.engineId, report);
      return true;
    }
    const present = record.report;
    if (present && present.incarnation > report.incarnation) return false;
    if (present && present.incarnation < report.incarnation) record.breaker.onSuccess();
    record.report = report;
    record.unreportedTokens = 0;
    return true;
  }

  get(engineId: string): EngineRecord | undefined {
    return this.records.get(engineId);
  }

  all(): IterableIterator<EngineRecord> {
    return this.records.values();
  }

  get size(): number {
    return this.records.size;
  }
}

/** Whether new work may go to the engine. */
export function takesNewWork(record: EngineRecord, nowMs: number): boolean {
  if (record.machine.leaving || record.report?.leaving) return false;
  return record.report !== undefined && record.breaker.mayPass(nowMs);
}
