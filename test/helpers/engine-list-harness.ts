/** Harness of one router's list of engines, with a log that tests can read. */
import { EngineList } from '../../src/coordination/gateway/engine-list.js';
import {
  EngineIncarnationTracker,
  type EngineRestart,
} from '../../src/coordination/gateway/engine-incarnation-tracker.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import type { ObjectDecoder } from '../../src/coordination/gateway/object-decoder.js';
import { MalformedEntries } from '../../src/coordination/gateway/malformed-entries.js';
import type { LogFields, Logger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';

/** Settings of the list. */
export interface EngineListOptions {
  readonly decoder: ObjectDecoder;
  readonly drainMs?: number;
  readonly services?: readonly string[];
}

/** Logger that records all lines. */
export class RecordedLog implements Logger {
  readonly lines: { readonly event: string; readonly fields: LogFields }[] = [];

  debug(): void {}

  info(event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }

  warn(event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }

  error(event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }

  /** Returns the fields of all lines of one event. */
  of(event: string): LogFields[] {
    return this.lines.filter((line) => line.event === event).map(({ fields }) => fields);
  }
}

/** A list of engines with its registry and the restarts it detected. */
export class EngineListHarness {
  readonly clock = new VirtualClock();
  readonly registry = new EngineRegistry();
  readonly statistics = new GatewayStatistics();
  readonly log = new RecordedLog();
  readonly restarts: EngineRestart[] = [];
  readonly incarnations = new EngineIncarnationTracker(this.registry, this.statistics, this.log);
  readonly malformed = new MalformedEntries(this.statistics, this.clock, this.log);
  readonly list: EngineList;

  constructor({ decoder, drainMs = 2_000, services }: EngineListOptions) {
    this.incarnations.connect({
      onChanged: () => undefined,
      onEntry: () => undefined,
      onRestarted: (restart) => this.restarts.push(restart),
    });
    this.list = new EngineList({
      registry: this.registry,
      incarnations: this.incarnations,
      malformed: this.malformed,
      decoder,
      clock: this.clock,
      logger: this.log,
      onChanged: () => undefined,
      onLapsed: () => undefined,
      isKnownService: (service) => services?.includes(service) ?? true,
      drainMs,
      entryLifetimeMs: 3_600,
    });
  }
}
