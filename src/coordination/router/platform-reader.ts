/**
 * Reads the object API and the machine list for a region and updates the replicated documents.
 * Only the first routers of a region by rank read. Concurrent readers are harmless, so no lease is
 * needed.
 */
import { type Clock, sleep } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import { describeProtocolError, toProtocolError } from '../../protocol/errors.js';
import type { MachineListPort } from '../../protocol/machine-list/port.js';
import type { ObjectApiPort } from '../../protocol/object-api/port.js';
import { backoffDelayMs } from '../../state/backoff.js';
import { splitTemplateSet } from '../../state/template-sections.js';
import { checkTemplateSet } from '../../state/template-set.js';
import { MACHINES_DOCUMENT, TEMPLATES_DOCUMENT } from '../shared/configuration.js';
import type { DocumentReplicator } from '../shared/document-replicator.js';

/** Name of the object that contains models, services, templates and tenants. */
export const TEMPLATES_OBJECT = 'templates';

/** Number of readers per region. */
export const READERS_PER_REGION = 2;

const WATCH_WAIT_MS = 10_000;
/** Period at which a router that is not a reader checks whether it has become one. */
const READER_CHECK_PERIOD_MS = 500;

/** Reads the platform's object API and machine list for one router. */
export class PlatformReader {
  private stopped = false;

  constructor(
    private readonly objects: ObjectApiPort,
    private readonly machines: MachineListPort,
    private readonly replicator: DocumentReplicator,
    /** Whether this router is currently a reader of its region. */
    private readonly isReader: () => boolean,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly logger: Logger,
  ) {}

  start(): void {
    void this.loop('templates', () => this.readTemplates());
    void this.loop('machines', () => this.readMachines());
  }

  stop(): void {
    this.stopped = true;
  }

  private async loop(source: string, read: () => Promise<void>): Promise<void> {
    let failures = 0;
    while (!this.stopped) {
      if (!this.isReader()) {
        await sleep(this.clock, READER_CHECK_PERIOD_MS);
        continue;
      }
      try {
        await read();
        failures = 0;
      } catch (error) {
        // During a shutdown the platform may stop first; don't log that.
        if (this.stopped) return;
        if (failures === 0) this.logFailure(source, error);
        await sleep(this.clock, backoffDelayMs(this.random, failures) + 1);
        failures += 1;
      }
    }
  }

  private logFailure(source: string, error: unknown): void {
    const reason = describeProtocolError(toProtocolError(error, source));
    this.logger.warn('platform_read_failed', { source, reason });
  }

  private async readTemplates(): Promise<void> {
    const document = this.replicator.document(TEMPLATES_DOCUMENT);
    const after = Number(document.revision);
    const object = await this.objects.watch(TEMPLATES_OBJECT, after, WATCH_WAIT_MS);
    if (!object || this.stopped) return;
    const verdict = checkTemplateSet(parseContent(object.content));
    if (verdict.kind === 'invalid') {
      const [problem] = verdict.problems;
      this.logger.error('stored_configuration_invalid', {
        version: object.version,
        path: problem?.path,
        reason: problem?.message,
      });
      // The object stays invalid until its next write, so don't read it again at once.
      await sleep(this.clock, WATCH_WAIT_MS);
      return;
    }
    const delta = document.deltaTo(BigInt(object.version), splitTemplateSet(verdict.set));
    this.replicator.apply(TEMPLATES_DOCUMENT, delta);
  }

  private async readMachines(): Promise<void> {
    const document = this.replicator.document(MACHINES_DOCUMENT);
    const list = await this.machines.watch(Number(document.revision), WATCH_WAIT_MS);
    if (!list || this.stopped) return;
    const contents = new Map(
      list.machines.map((machine) => [machine.id, JSON.stringify(machine)] as const),
    );
    this.replicator.apply(MACHINES_DOCUMENT, document.deltaTo(BigInt(list.version), contents));
  }
}

/** Extracts the configuration from the stored object, without the writers' metadata. */
function parseContent(content: string): unknown {
  try {
    const parsed = JSON.parse(content) as { configuration?: unknown };
    return parsed.configuration;
  } catch {
    return undefined;
  }
}
