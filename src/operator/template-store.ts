/**
 * Reads and writes the configuration object for operators. Writes are compare-and-swap and carry an
 * operation identifier, so that a write whose response was lost can be verified by reading back.
 */
import { z } from 'zod';
import { type Clock, sleep } from '../runtime/clock.js';
import { TEMPLATES_OBJECT } from '../coordination/router/platform-reader.js';
import { ProtocolFailure } from '../protocol/errors.js';
import type { ObjectApiPort } from '../protocol/object-api/port.js';
import { type TemplateSet, checkTemplateSet } from '../state/template-set.js';

const READ_BACK_ATTEMPTS = 5;
const READ_BACK_PAUSE_MS = 400;

const storedSchema = z.object({
  configuration: z.unknown(),
  operation_id: z.string().default(''),
});

/** The stored configuration; version 0 if none has been written. */
export interface StoredTemplates {
  readonly version: number;
  readonly set: TemplateSet | undefined;
  readonly operationId: string;
}

/** Outcome of a write. */
export type WriteOutcome =
  | { readonly kind: 'written'; readonly version: number }
  /** The stored version is not the expected one; nothing was written. */
  | { readonly kind: 'conflict'; readonly current: StoredTemplates }
  /** The response was lost, and reading back did not show whether the write took effect. */
  | { readonly kind: 'uncertain'; readonly reason: string };

/** Access to the configuration object. */
export class TemplateStore {
  constructor(
    private readonly objects: ObjectApiPort,
    private readonly clock: Clock,
  ) {}

  async read(): Promise<StoredTemplates> {
    const object = await this.objects.read(TEMPLATES_OBJECT);
    if (!object) return { version: 0, set: undefined, operationId: '' };
    const stored = storedSchema.safeParse(parseJsonOrUndefined(object.content));
    const verdict = checkTemplateSet(stored.data?.configuration);
    return {
      version: object.version,
      set: verdict.kind === 'valid' ? verdict.set : undefined,
      operationId: stored.data?.operation_id ?? '',
    };
  }

  /** Replaces the configuration if the stored version is `expectedVersion`. */
  async write(
    set: TemplateSet,
    expectedVersion: number,
    operationId: string,
  ): Promise<WriteOutcome> {
    const content = JSON.stringify({ configuration: set, operation_id: operationId });
    try {
      const version = await this.objects.write(TEMPLATES_OBJECT, content, expectedVersion);
      return { kind: 'written', version };
    } catch (error) {
      return this.resolveOutcome(error, expectedVersion, operationId);
    }
  }

  private async resolveOutcome(
    error: unknown,
    expectedVersion: number,
    operationId: string,
  ): Promise<WriteOutcome> {
    const cause = error instanceof ProtocolFailure ? error.error.kind : 'interrupted';
    if (cause === 'unreachable') throw error;
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt += 1) {
      try {
        const current = await this.read();
        if (current.operationId === operationId) {
          return { kind: 'written', version: current.version };
        }
        if (current.version !== expectedVersion) return { kind: 'conflict', current };
        // The write may still be in transit; read again after a pause.
      } catch {
        // The store is unavailable; retry.
      }
      await sleep(this.clock, READ_BACK_PAUSE_MS);
    }
    return {
      kind: 'uncertain',
      reason: 'the response was lost, and the write was not found by reading back',
    };
  }
}

function parseJsonOrUndefined(content: string): unknown {
  try {
    return JSON.parse(content);
  } catch {
    return undefined;
  }
}
