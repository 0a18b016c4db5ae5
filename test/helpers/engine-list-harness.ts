/** A list of engines as one router follows it, with a log that tests can read. */
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

/** What a list is set up with. */
export interface EngineListOptions {
  readonly decoder: ObjectDecoder;
  readonly drainMs?: number;
  readonly services?: readonly string[];
}

/** Keeps the lines it is given. */
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

  /** Fields of all lines of one event. */
  of(event: string): LogFields[] {
    return this.lines.filter((line) => line.event === event).map(({ fields }) => fields);
  }
}

/** A list, its registry and what it found out. */
export class EngineListHarness {
  readonly clock = new VirtualClock();
  readonly registry = new EngineRegistry();
  readonly statistics = new GatewayStatistics();
  readonly log = new RecordedLog();
  readonly rebirths: EngineRestart[] = [];
  readonly lives = new EngineIncarnationTracker(this.registry, this.statistics, this.log);
  readonly odd = new MalformedEntries(this.statistics, this.clock, this.log);
  readonly list: EngineList;

  constructor({ decoder, drainMs = 2_000, services }: EngineListOptions) {
    this.lives.connect({
      onChanged: () => undefined,
      onRestarted: (rebirth) => this.rebirths.push(rebirth),
    });
    this.list = new EngineList({
      registry: this.registry,
      lives: this.lives,
      odd: this.odd,
      decoder,
      clock: this.clock,
      logger: this.log,
      onChanged: () => undefined,
      isKnownService: (service) => services?.includes(service) ?? true,
      drainMs,
      entryLifetimeMs: 3_600,
    });
  }
}
